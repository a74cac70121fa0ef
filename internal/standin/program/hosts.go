package program

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// readHosts reads a list of hosts from a JSON file. It returns nil without an error if file is empty.
func readHosts(file string) ([]platformapi.Host, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var hosts []platformapi.Host
	if err := json.Unmarshal(text, &hosts); err != nil {
		return nil, errors.Wrap(err, file)
	}
	return hosts, nil
}
