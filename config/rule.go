package config

import (
	"encoding/json"
	"regexp"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// maxTextV1 bounds the text of a document under rule 1, in bytes.
const maxTextV1 = 256 << 10

// coreV1 holds the fields that rule 1 looks at. It must never change: every
// process, old or new, has to reach the same verdict on a version 1 record. A
// new check needs a new record version with a rule of its own.
type coreV1 struct {
	Schema  int    `json:"schema"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Models  []struct {
		Name    string `json:"name"`
		Version string `json:"version"`
	} `json:"models"`
	Routes []struct {
		Method string `json:"method"`
		Path   string `json:"path"`
	} `json:"routes"`
	Workspaces []struct {
		Name   string  `json:"name"`
		Weight float64 `json:"weight"`
	} `json:"workspaces"`
}

var serviceNameV1 = regexp.MustCompile(`^[a-zA-Z0-9]([a-zA-Z0-9-]{0,61}[a-zA-Z0-9])?(\.[a-zA-Z0-9]([a-zA-Z0-9-]{0,61}[a-zA-Z0-9])?)*$`)

// checkV1 is the frozen acceptance check of version 1 document records. Fields
// that it does not know are left to the readers that do; ErrInvalid.
func checkV1(change Change) error {
	if len(change.Text) > maxTextV1 {
		return errors.Wrap(ErrInvalid, "document too large")
	}
	standard, err := hujson.Standardize([]byte(change.Text))
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	var core coreV1
	if err := json.Unmarshal(standard, &core); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	if problem := core.problem(change.Service); problem != "" {
		return errors.Wrap(ErrInvalid, problem)
	}
	return nil
}

// problem names the first rule that the document breaks, or "".
func (c coreV1) problem(service string) string {
	switch {
	case c.Schema != 1:
		return "schema is not 1"
	case c.Service != service:
		return "document names another service"
	case len(c.Service) > 63 || !serviceNameV1.MatchString(c.Service):
		return "service is no host name"
	case len(c.Workspaces) == 0:
		return "workspaces are missing"
	}
	for _, w := range c.Workspaces {
		if w.Name == "" || w.Weight <= 0 {
			return "a workspace has no name or no weight"
		}
	}
	return c.kindProblem()
}

func (c coreV1) kindProblem() string {
	switch {
	case c.Kind == "model" && len(c.Models) == 0:
		return "models are missing"
	case c.Kind == "plain" && len(c.Routes) == 0:
		return "routes are missing"
	case c.Kind != "model" && c.Kind != "plain":
		return "kind is unknown"
	}
	for _, m := range c.Models {
		if m.Name == "" || m.Version == "" {
			return "a model has no name or no version"
		}
	}
	for _, r := range c.Routes {
		if r.Method == "" || !strings.HasPrefix(r.Path, "/") {
			return "a route has no method or no path"
		}
	}
	return ""
}

// parseAccepted reads an accepted document as far as this code knows its
// fields. A field that a newer writer added is ignored; a value that this code
// cannot use is ErrInvalid.
func parseAccepted(text string) (*Document, error) {
	standard, err := hujson.Standardize([]byte(text))
	if err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	var doc Document
	if err := json.Unmarshal(standard, &doc); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	if err := CheckStruct(check, []byte(text), &doc); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	return &doc, nil
}
