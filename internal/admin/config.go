package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/spread"
	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
)

// getManifest serves the revision and digest of the active configuration and of each section.
func (s *Server) getManifest(c echo.Context) error {
	current := s.Configuration.Current()
	if current == nil {
		return c.JSON(http.StatusOK, adminapi.Configuration{Sections: []adminapi.Section{}})
	}
	response := adminapi.Configuration{Revision: current.Version.Revision, Digest: current.Version.Digest}
	for _, v := range current.Manifest.Sections {
		response.Sections = append(response.Sections, adminapi.Section{Section: string(v.Section), Revision: v.Revision, Digest: v.Digest})
	}
	return c.JSON(http.StatusOK, response)
}

// getSection serves the revision, digest and text of one section.
func (s *Server) getSection(c echo.Context) error {
	name, err := sectionOf(c)
	if err != nil {
		return err
	}
	response := adminapi.Section{Section: string(name)}
	if current := s.Configuration.Current(); current != nil {
		v := current.Manifest.Section(name)
		response.Revision, response.Digest = v.Revision, v.Digest
		for _, body := range current.Bodies {
			if body.Section == name {
				response.Body = string(document.Indent(body.Text))
			}
		}
	}
	return c.JSON(http.StatusOK, response)
}

// applyChange changes one section if the operator may change it.
func (s *Server) applyChange(c echo.Context) error {
	name, err := sectionOf(c)
	if err != nil {
		return err
	}
	operator := c.Get(operatorKey).(Operator)
	if !operator.mayChange(name) {
		return &Error{Op: "apply", Kind: KindForbidden, Err: errors.Errorf("%s may not change section %s", operator.Name, name)}
	}
	change, err := readChange(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	accepted, err := s.Configuration.Apply(ctx, spread.Change{
		ID: change.ID, Section: name, Body: []byte(change.Body), Base: change.BaseRevision,
		Author: operator.Name, Reason: change.Reason,
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, adminapi.Accepted{ID: accepted.ID, Revision: accepted.Revision})
}

// readChange decodes and checks the request body of a change.
func readChange(c echo.Context) (adminapi.Change, error) {
	var change adminapi.Change
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&change)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return change, &Error{Op: "read change", Kind: KindTooLarge, Err: errors.Errorf("the change is over %d bytes", maxChangeBytes)}
	case err != nil:
		return change, &Error{Op: "read change", Kind: KindInvalid, Err: errors.WithStack(err)}
	case strings.TrimSpace(change.Reason) == "":
		return change, &Error{Op: "read change", Kind: KindInvalid, Err: errors.New("reason: must be set")}
	}
	return change, nil
}

// sectionOf returns the section that the path names, or an error of KindNotFound.
func sectionOf(c echo.Context) (document.Section, error) {
	name := document.Section(c.Param("section"))
	if !slices.Contains(document.Sections(), name) {
		return "", &Error{Op: "find section", Kind: KindNotFound, Err: errors.Errorf("no section %q", name)}
	}
	return name, nil
}

func newRecord(r spread.HistoryRecord) adminapi.Record {
	change := r.Change
	return adminapi.Record{
		Revision: r.Revision, Section: string(change.Section), Author: change.Author, Time: change.Time,
		Reason: change.Reason, ID: change.ID, BeforeDigest: change.Before, AfterDigest: change.After, Diff: r.Diff,
	}
}
