package quarantine

import "github.com/cespare/xxhash/v2"

// Fingerprint identifies what a request asks for, whatever attempt, connection or key of the workspace it comes
// with. scope is the service, or the authority that the target belongs to.
func Fingerprint(scope, workspace, method, target string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{scope, workspace, method, target} {
		_, _ = d.WriteString(part + "\x00") // xxhash.Digest never returns an error
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
