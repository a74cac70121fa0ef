package crash

import (
	"os"
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
)

func TestX(t *testing.T) {
	var r report.Report
	Run(&r)
	r.WriteTable(os.Stdout)
}
