package quarantine

import (
	"slices"
	"strconv"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// IsolatedEndpoint returns the idle endpoint on which a request runs isolated; ok
// is false if there is none for it. Co-running requests are spread over the
// endpoints in the order of their fingerprints, so that entry hosts which run them
// at the same time do not put two of them on one endpoint. If there are more of
// them than endpoints, those with VerdictIsolate share endpoints and the others
// get none.
func (j Evaluation) IsolatedEndpoint(fingerprint uint64, idle []string) (endpoint string, ok bool) {
	if len(idle) == 0 {
		return "", false
	}
	rank, _ := slices.BinarySearch(j.CoRunning, fingerprint)
	if rank >= len(idle) && j.Verdict != VerdictIsolate {
		return "", false
	}
	return idle[rank%len(idle)], true
}

// SeparateEndpoint returns the endpoint on which a request runs separately from
// its co-running requests; ok is false if there are more of them than endpoints.
// The requests choose in the order of their fingerprints, each by rendezvous
// hashing among the endpoints that remain. Entry hosts whose lists of endpoints
// differ slightly therefore do not put two of them on one endpoint.
func (j Evaluation) SeparateEndpoint(fingerprint uint64, endpoints []string) (endpoint string, ok bool) {
	rank, _ := slices.BinarySearch(j.CoRunning, fingerprint)
	if rank >= len(endpoints) {
		return "", false
	}
	remaining := slices.Clone(endpoints)
	for _, f := range j.CoRunning[:rank] {
		at := highestScore(f, remaining)
		remaining = slices.Delete(remaining, at, at+1)
	}
	return remaining[highestScore(fingerprint, remaining)], true
}

// highestScore returns the index of the endpoint with the highest rendezvous
// score for a fingerprint.
func highestScore(fingerprint uint64, endpoints []string) int {
	key := strconv.FormatUint(fingerprint, 16)
	best := 0
	for i := range endpoints {
		if rendezvous.Score(key, endpoints[i]) > rendezvous.Score(key, endpoints[best]) {
			best = i
		}
	}
	return best
}
