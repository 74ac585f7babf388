package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/route"
)

// TestSlots checks a host's slots for its own load, that of other hosts and the limits of
// the endpoints.
func TestSlots(t *testing.T) {
	row := func(inFlight, others, limit int) route.LoadState {
		return route.LoadState{Service: "s", InFlight: inFlight, Others: others, MaxRunning: limit}
	}
	for name, tc := range map[string]struct {
		loads []route.LoadState
		hosts int
		want  int
	}{
		"no endpoints":               {nil, 3, 0},
		"single entry host":          {[]route.LoadState{row(0, 0, 16), row(0, 0, 16)}, 1, 32},
		"equal share when busy":      {[]route.LoadState{row(4, 12, 16), row(4, 12, 16)}, 4, 8},
		"half of what others leave":  {[]route.LoadState{row(4, 2, 16), row(4, 2, 16)}, 4, 18},
		"uneven load adds no room":   {[]route.LoadState{row(20, 0, 16), row(12, 0, 16)}, 4, 32},
		"unknown limit":              {[]route.LoadState{row(0, 0, 0)}, 1, defaultModelConcurrency},
		"leaving does not count":     {[]route.LoadState{row(0, 0, 16), {Service: "s", Leaving: true, MaxRunning: 16}}, 1, 16},
		"suspect does not count":     {[]route.LoadState{row(0, 0, 16), {Service: "s", Suspect: true, MaxRunning: 16}}, 1, 16},
		"another service":            {[]route.LoadState{{Service: "other", MaxRunning: 16}}, 1, 0},
		"a share is never below one": {[]route.LoadState{row(0, 4, 4)}, 9, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(slots("s", config.KindModel, tc.loads, tc.hosts), tc.want)
		})
	}
}
