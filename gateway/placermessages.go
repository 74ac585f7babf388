package gateway

import (
	"time"

	"github.com/cicadanotch/cicadanotch/placement"
)

type placeRequest struct {
	Service  string           `json:"service"`
	Zone     string           `json:"zone"`
	Key      string           `json:"key,omitempty"`
	Prompt   int              `json:"prompt"`
	Answer   int              `json:"answer"`
	Parts    []placement.Part `json:"parts,omitempty"`
	Priority int              `json:"priority,omitempty"`
	// Software is the only software version that may be chosen; nil for any.
	Software *string `json:"software,omitempty"`
	// Within holds the only endpoints that may be chosen in a roll-out, Versions the only software versions;
	// empty for any.
	Within   []string `json:"within,omitempty"`
	Versions []string `json:"versions,omitempty"`
	// Excluded must not be chosen, Suspect only if there is no other.
	Excluded []string `json:"excluded,omitempty"`
	Suspect  []string `json:"suspect,omitempty"`
	// Remaining is the time until the request ends.
	Remaining time.Duration `json:"remaining_ns"`
	// SlackMS is as in placement.Query.
	SlackMS float64 `json:"slack_ms,omitempty"`
}

type placeReply struct {
	// Endpoint is empty if none may be chosen.
	Endpoint string          `json:"endpoint,omitempty"`
	Ticket   int64           `json:"ticket,omitempty"`
	Terms    placement.Terms `json:"terms"`
	Cached   int             `json:"cached,omitempty"`
	Fetch    placement.Fetch `json:"fetch"`
}

// settlement is news of a placement: its first token has come, or its attempt has ended.
type settlement struct {
	Ticket       int64         `json:"t"`
	Started      time.Duration `json:"s,omitempty"`
	Ended        bool          `json:"e,omitempty"`
	NotPrefilled bool          `json:"n,omitempty"`
	// StatedPercent is what the endpoint stated of its time of work, zero if nothing.
	StatedPercent float64 `json:"w,omitempty"`
}

type loadsRequest struct {
	Host  string                    `json:"host"`
	Loads map[string]placement.Load `json:"loads,omitempty"`
	// Cached are the shared parts of prompts that engines have prefilled since the last message.
	Cached []placement.CachedPart `json:"cached,omitempty"`
}
