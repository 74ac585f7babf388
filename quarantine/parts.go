package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A part of prompts may crash each endpoint that begins to answer a request with it, whatever else the request holds.
// No two such requests need be alike, and sound ones share their other parts, so neither requests nor deaths of one
// part alone tell which part it is. Two kinds of evidence do: the parts that were at endpoints when they ended, in
// requests that had not been answering for long; and the parts of requests that were answered after that.

const (
	// AnsweringTime is how long a request has been answering when its parts no longer count as a cause of its
	// endpoint's death: a lethal part crashes the endpoint as the answer begins.
	AnsweringTime = 500 * time.Millisecond
	// minPartRounds is the number of deaths, each at least partRoundInterval after the one before, that identify
	// parts. In that interval sound requests clear the parts that they share; a loss of a zone takes less than
	// this number of them.
	minPartRounds     = 3
	partRoundInterval = time.Second
	// minPartCauses is the number of different requests that must be needed to explain these deaths otherwise.
	minPartCauses = 3
)

// maxParts bounds the parts of one prompt that are considered, the first ones.
const maxParts = 64

// PartKeys returns the keys of parts of a prompt, given by their ids or texts, sorted.
func PartKeys(parts []string) []uint64 {
	var keys []uint64
	for _, p := range parts[:min(len(parts), maxParts)] {
		keys = append(keys, xxhash.Sum64String(p))
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// LethalParts are parts of prompts that together crash endpoints: mostly one, or several if no request has told them
// apart yet. A request that has all of them must not run.
type LethalParts struct {
	Parts []uint64 `json:"parts"` // sorted
	// Deaths is the number of endpoints that ended under them.
	Deaths int       `json:"deaths"`
	Until  time.Time `json:"until"`
}

// within reports whether a request or death with these parts, sorted, has all lethal ones.
func (l LethalParts) within(parts []uint64) bool { return isSubset(l.Parts, parts) }

func isSubset(subset, set []uint64) bool {
	for _, p := range subset {
		if _, found := slices.BinarySearch(set, p); !found {
			return false
		}
	}
	return true
}

// suspectParts returns the parts that a death counts against, sorted.
func (d *Death) suspectParts() []uint64 {
	if d.Announced {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(d.Parts), func(p uint64) bool {
		_, cleared := slices.BinarySearch(d.ClearedParts, p)
		return cleared
	})
}

// ClearParts records that a request with these parts has been answering for AnsweringTime, or to its end, since began.
// Deaths before that no longer count against the parts. It returns records of the deaths that did until then, which
// the other hosts should merge.
func (t *Table) ClearParts(began time.Time, parts []uint64) []Death {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspect := slices.DeleteFunc(slices.Clone(parts), func(p uint64) bool { return t.partDeaths[p] == 0 })
	if len(suspect) == 0 {
		return nil
	}
	var out []Death
	for _, d := range t.deaths {
		if !d.At.Before(began) {
			break
		}
		record := Death{Endpoint: d.Endpoint, Incarnation: d.Incarnation, Zone: d.Zone, At: d.At}
		for _, p := range suspect {
			if _, found := slices.BinarySearch(d.Parts, p); found {
				record.Parts, _ = union(record.Parts, []uint64{p})
			}
		}
		record.ClearedParts = record.Parts
		if len(record.Parts) > 0 && t.merge(d, record) {
			out = append(out, record.clone())
		}
	}
	return out
}

// lethalParts returns the parts that the deaths identify.
func (t *Table) lethalParts() []LethalParts {
	if t.lethalKnown {
		return t.lethal
	}
	t.lethal, t.lethalKnown = nil, true
	for p, deaths := range t.partDeaths {
		if deaths < minPartRounds {
			continue
		}
		l, ok := t.identifyPart(p)
		if ok && !slices.ContainsFunc(t.lethal, func(other LethalParts) bool { return slices.Equal(other.Parts, l.Parts) }) {
			t.lethal = append(t.lethal, l)
		}
	}
	slices.SortFunc(t.lethal, func(a, b LethalParts) int { return slices.Compare(a.Parts, b.Parts) })
	return t.lethal
}

// identifyPart returns the parts that all deaths which count against a part have in common, and whether these
// deaths identify them.
func (t *Table) identifyPart(part uint64) (LethalParts, bool) {
	var (
		deaths []*Death
		common []uint64
		rounds int
		begun  time.Time // of the last round
	)
	endpoints := map[string]bool{}
	for _, d := range t.deaths {
		suspect := d.suspectParts()
		if _, found := slices.BinarySearch(suspect, part); !found {
			continue
		}
		common = intersect(common, suspect, len(deaths) == 0)
		if !endpoints[d.Endpoint] && (rounds == 0 || d.At.Sub(begun) >= partRoundInterval) {
			rounds, begun = rounds+1, d.At
		}
		endpoints[d.Endpoint] = true
		deaths = append(deaths, d)
	}
	if rounds < minPartRounds || !t.needsCauses(deaths, minPartCauses) {
		return LethalParts{}, false
	}
	return LethalParts{Parts: common, Deaths: len(endpoints), Until: deaths[len(deaths)-1].At.Add(SuspicionTTL)}, true
}

// needsCauses reports whether at least n different causes are needed to explain deaths by requests, each of which
// may have caused the deaths of all endpoints that it is suspected of.
func (t *Table) needsCauses(deaths []*Death, n int) bool {
	var left [][]uint64 // the suspect requests of each death not explained yet
	for _, d := range deaths {
		left = append(left, t.suspectRequests(d))
	}
	for range n - 1 {
		if len(left) == 0 {
			return false
		}
		request, ok := mostFrequent(left)
		if !ok {
			left = left[1:] // no request is suspected of it
			continue
		}
		left = slices.DeleteFunc(left, func(requests []uint64) bool { return slices.Contains(requests, request) })
	}
	return len(left) > 0
}

// mostFrequent returns the request in most of the lists, the first by fingerprint among several; ok is false if all
// are empty.
func mostFrequent(lists [][]uint64) (request uint64, ok bool) {
	count := map[uint64]int{}
	for _, requests := range lists {
		for _, f := range requests {
			count[f]++
		}
	}
	for f, n := range count {
		if !ok || n > count[request] || n == count[request] && f < request {
			request, ok = f, true
		}
	}
	return request, ok
}

// explained reports whether lethal parts explain a death.
func (t *Table) explained(d *Death) bool {
	return len(d.Parts) > 0 && slices.ContainsFunc(t.lethalParts(), func(l LethalParts) bool { return l.within(d.suspectParts()) })
}

// LethalParts returns the parts of prompts that must not run.
func (t *Table) LethalParts(now time.Time) []LethalParts {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return slices.Clone(t.lethalParts())
}
