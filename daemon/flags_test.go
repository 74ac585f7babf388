package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/gateway"
	"github.com/cicadanotch/cicadanotch/platform"
	"github.com/cicadanotch/cicadanotch/speed"
)

// TestEndpointSpeedFlag guards against a mode that is misspelt and silently ignored: the process ends at
// once with an error that names the flag and what was expected.
func TestEndpointSpeedFlag(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(path, []byte("node_name=h\nzone=a\nregion=r\nip=127.0.0.1\nlisten.front=127.0.0.1:0\nlisten.ready=127.0.0.1:0\nprovider.address=127.0.0.1:1\n"), 0o600))
	t.Setenv(platform.SettingsVariable, path)
	var stderr bytes.Buffer
	is.Equal(Main([]string{"platform", "--endpoint-speed", "fast"}, &stderr), exitUsage)
	is.True(strings.Contains(stderr.String(), `flag --endpoint-speed is "fast", expected auto, on or off`))
	for flag, want := range map[string]speed.Mode{"": "", "auto": speed.ModeAuto, "on": speed.ModeOn, "off": speed.ModeOff} {
		var o gateway.Options
		is.NoErr((&PlatformFlags{EndpointSpeed: flag}).apply(&o))
		is.Equal(o.EndpointSpeed, want)
	}
}
