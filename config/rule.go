package config

import (
	"encoding/json"
	"regexp"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// maxTextV1 is the maximum size of a document's text under rule 1, in bytes.
const maxTextV1 = 256 << 10

// coreV1 holds the fields that rule 1 checks. It must never change: every
// process, old or new, has to reach the same verdict on a version 1 record. A
// new check needs a new record version with its own rule.
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

// checkV1 is the acceptance check of version 1 document records. It must never
// change. It ignores fields that are not in coreV1, which newer readers check.
// It returns ErrInvalid for a document that fails.
func checkV1(change Change) error {
	if len(change.Text) > maxTextV1 {
		return errors.Wrap(ErrInvalid, "document too large, want at most 262144 bytes")
	}
	standard, err := hujson.Standardize([]byte(change.Text))
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	var core coreV1
	if err := json.Unmarshal(standard, &core); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	if violation := core.violation(change.Service); violation != "" {
		return errors.Wrap(ErrInvalid, violation)
	}
	return nil
}

// violation names the first rule that the document breaks, or "".
func (c coreV1) violation(service string) string {
	switch {
	case c.Schema != 1:
		return "field \"schema\" is not 1"
	case c.Service != service:
		return "field \"service\" differs from the service of the record"
	case len(c.Service) > 63 || !serviceNameV1.MatchString(c.Service):
		return "field \"service\" is not a host name of at most 63 characters"
	case len(c.Workspaces) == 0:
		return "field \"workspaces\" is missing or empty"
	}
	for _, w := range c.Workspaces {
		if w.Name == "" || w.Weight <= 0 {
			return "a workspace has no name or no weight above 0"
		}
	}
	return c.kindViolation()
}

func (c coreV1) kindViolation() string {
	switch {
	case c.Kind == "model" && len(c.Models) == 0:
		return "field \"models\" is missing or empty in a service of kind \"model\""
	case c.Kind == "plain" && len(c.Routes) == 0:
		return "field \"routes\" is missing or empty in a service of kind \"plain\""
	case c.Kind != "model" && c.Kind != "plain":
		return "field \"kind\" is neither \"model\" nor \"plain\""
	}
	for _, m := range c.Models {
		if m.Name == "" || m.Version == "" {
			return "a model has no name or no version"
		}
	}
	for _, r := range c.Routes {
		if r.Method == "" || !strings.HasPrefix(r.Path, "/") {
			return "a route has no method or no path that starts with a slash"
		}
	}
	return ""
}

// parseAccepted parses the fields of an accepted document that this code knows.
// It ignores fields added by newer writers and returns ErrInvalid for a value
// that this code cannot use.
func parseAccepted(text string) (*Document, error) {
	standard, err := hujson.Standardize([]byte(text))
	if err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	var doc Document
	if err := json.Unmarshal(standard, &doc); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	if err := CheckStruct(documentValidator, []byte(text), &doc); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	return &doc, nil
}
