package platform_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/cloudhttp"
	"github.com/cicadanotch/cicadanotch/adapter/loghttp"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/standin/platform"
)

// exampleText returns the example settings with every port replaced by 0, which selects a free
// port.
func exampleText(is *is.I) string {
	text, err := os.ReadFile("../../examples/standin.json")
	is.NoErr(err)
	out := string(text)
	for _, port := range []string{"9000", "9001", "9101", "9102", "9201"} {
		out = strings.ReplaceAll(out, "127.0.0.1:"+port, "127.0.0.1:0")
	}
	return out
}

// TestExampleRuns guards against an example settings file that no longer starts the stand-ins, or
// starts them without its fault, hosts and notices.
func TestExampleRuns(t *testing.T) {
	is := is.New(t)
	s, err := platform.ParseSettings([]byte(exampleText(is)))
	is.NoErr(err)
	p, err := platform.Start(s)
	is.NoErr(err)
	defer p.Stop()

	log := loghttp.New("http://"+p.Addresses[platform.TargetLog], nil)
	for range 2 {
		_, err = log.Append(t.Context(), []byte("a"))
		is.NoErr(err)
	}
	_, err = log.Append(t.Context(), []byte("c"))
	is.True(errors.Is(err, port.ErrLogUnavailable)) // the example's fault: the reply is lost
	page, err := log.Read(t.Context(), 1, 10, 0)
	is.NoErr(err)
	is.Equal(len(page.Records), 3) // the append with the lost reply took effect

	cloud := cloudhttp.New("http://"+p.Addresses[platform.TargetCloud], nil)
	p.Cloud.AddNotice("jos-a-engine-1", port.NoticeReclaim, time.Now().Add(time.Minute))
	notices, err := cloud.Notices(t.Context(), 0, 0)
	is.NoErr(err)
	is.Equal(len(notices), 1)
	hosts, err := cloud.Hosts(t.Context())
	is.NoErr(err)
	is.Equal(len(hosts), 4)
	is.Equal(hosts[1].State, port.HostLeaving)
}

// TestSettingsErrors guards against invalid settings that are accepted, or refused without naming
// the place of the error.
func TestSettingsErrors(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"unknown field":  {`"lag"`, `"lagg"`, `line 7: unknown field "lagg"`},
		"unknown target": {`"target": "log"`, `"target": "none"`, `no stand-in "none"`},
		"missing target": {`"target": "log", `, ``, `field "faults[0].target"`},
		"bad duration":   {`"1s"`, `"1"`, `"1" is no duration`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := platform.ParseSettings([]byte(strings.Replace(exampleText(is), tc.old, tc.new, 1)))
			if err == nil {
				_, err = platform.Start(s)
			}
			is.True(errors.Is(err, platform.ErrSettings))
			is.True(strings.Contains(err.Error(), tc.want)) // the message names the place of the error
		})
	}
}
