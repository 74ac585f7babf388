package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// TestRelaySearch states when a host that relays do not serve asks others, waits, or reads the store.
func TestRelaySearch(t *testing.T) {
	type answer struct {
		reply readReply
		err   error
		took  time.Duration
	}
	var (
		stale    = answer{reply: readReply{Stale: true}}
		cutOff   = answer{reply: readReply{Stale: true, CutOff: true}}
		unready  = answer{reply: readReply{Unready: true}}
		earlier  = answer{err: errors.Wrap(port.ErrPeerRefused, "by a host of an earlier version")}
		noOne    = answer{err: port.ErrPeerUnreachable, took: time.Millisecond}
		silent   = answer{err: port.ErrPeerBroken, took: time.Second}
		noAnswer = answer{err: port.ErrPeerUnreachable, took: time.Second}
	)
	for name, tc := range map[string]struct {
		answers []answer
		patient bool
		want    searchStep
	}{
		"one is late":                            {[]answer{stale}, true, askNext},
		"three are late":                         {[]answer{stale, stale, stale}, true, askLater},
		"two are late and one is of earlier":     {[]answer{stale, stale, earlier}, true, askLater},
		"the store refuses five":                 {[]answer{cutOff, cutOff, cutOff, cutOff, cutOff}, true, askNext},
		"the store refuses six":                  {[]answer{cutOff, cutOff, cutOff, cutOff, cutOff, cutOff}, true, readStore},
		"it refuses three, others are late":      {[]answer{cutOff, stale, cutOff, stale, cutOff}, true, askNext},
		"no process listens at many":             {[]answer{noOne, noOne, noOne, noOne, noOne, noOne, noOne, noOne}, true, askNext},
		"one machine is silent":                  {[]answer{silent}, true, askNext},
		"two machines are silent":                {[]answer{silent, noAnswer}, true, readStore},
		"it starts too":                          {[]answer{noOne, unready}, true, askLater},
		"it has not read the topic for too long": {[]answer{unready}, false, askNext},
	} {
		var s relaySearch
		var got searchStep
		for _, a := range tc.answers {
			got = s.record("h", a.reply, a.err, a.took, tc.patient)
		}
		if got != tc.want {
			t.Errorf("%s: got %s, expected %s", name, got, tc.want)
		}
		is.New(t).Equal(len(s.tried), len(tc.answers))
	}
}
