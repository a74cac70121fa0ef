package host

import (
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

func TestWithListed(t *testing.T) {
	alive := []protocol.Host{{Name: "e2"}, {Name: "e1"}}
	listed := []platformapi.Host{
		{Name: "e1", Kind: platformapi.KindEntry},
		{Name: "e3", Kind: platformapi.KindEntry},
		{Name: "e4", Kind: platformapi.KindEntry, Leaving: true},
		{Name: "g1", Kind: platformapi.KindEngine},
	}
	names := ""
	for _, h := range withListed(alive, listed) {
		names += h.Name + " "
	}
	if names != "e1 e2 e3 " {
		t.Errorf("got %s", names)
	}
}
