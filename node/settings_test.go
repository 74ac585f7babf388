package node_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/node"
)

const goodSettings = `{
  // An entry host of Coldroot.
  "host": "jos-a-entry-1",
  "region": "plateau",
  "availability_zone": "jos-a",
  "caller_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:0",
  "operator_address": "127.0.0.1:0",
  "log_url": "http://127.0.0.1:9000",
  "cloud_url": "http://127.0.0.1:9001",
}`

// TestParseSettings guards against invalid settings that are accepted, or
// rejected without naming the field and line.
func TestParseSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string
		want     string // empty: no error
	}{
		"good":            {"", "", ""},
		"unknown field":   {`"region"`, `"regoin"`, `line 4: unknown field "regoin"`},
		"missing field":   {`"host": "jos-a-entry-1",`, ``, `field "host" breaks the rule "required"`},
		"wrong type":      {`"plateau"`, `4`, `line 4: field "region"`},
		"bad address":     {`"caller_address": "127.0.0.1:0"`, `"caller_address": "localhost"`, `line 6: field "caller_address"`},
		"bad duration":    {`"region"`, `"poll_interval": "5", "region"`, `"5" is no duration`},
		"open peer port":  {`"peer_address": "127.0.0.1:0"`, `"peer_address": "0.0.0.0:1"`, `line 7: field "peer_address" is not loopback`},
		"body too large":  {`"region"`, `"max_body_bytes": 100000000, "region"`, `line 4: field "max_body_bytes" is 100000000, expected at most 83886080`},
		"little memory":   {`"region"`, `"memory_mb": 8, "region"`, `line 4: field "max_body_bytes" is 4194304, expected at most 2621440`},
		"much memory":     {`"region"`, `"memory_mb": 1024, "max_body_bytes": 100000000, "region"`, ``},
		"not JSON at all": {`{`, `[`, `invalid settings`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := node.ParseSettings([]byte(strings.Replace(goodSettings, tc.old, tc.new, 1)))
			if tc.want == "" {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, node.ErrSettings))
			is.True(strings.Contains(err.Error(), tc.want)) // message: see want
		})
	}
}
