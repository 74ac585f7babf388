package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// State is the state of an order.
type State string

// States of orders. The last two are final.
const (
	StateServing    State = "serving"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled_back"
)

// Ended reports whether a state is final.
func (s State) Ended() bool { return s == StateCompleted || s == StateRolledBack }

const (
	// canaryOfShare is the fraction of requests that a version gets before it is judged, as a part of the
	// share that a bad version may get.
	canaryOfShare = 0.65
	// middleFraction is the step between that and all requests.
	middleFraction = 0.35
	// stepTime is the time from the middle step to the last: hosts learn of it and its evidence comes back.
	stepTime = 700 * time.Millisecond
	// drainTime is the time from the last step to completion, beyond that of the longest answer: hosts
	// learn of the step, tell that nothing runs any more, and that is recorded.
	drainTime = 1500 * time.Millisecond
	// minCanaryPart is the part of the duration that the canary lasts at least, however long answers take.
	minCanaryPart = 0.2
	// minStepAnswers is the number of answers of the target that a step waits for, or else the part
	// minEvidencePart of those that the fraction lets expect.
	minStepAnswers  = 3
	minEvidencePart = 0.3
	// aloneTime is how long the target must be the only version before an order has nothing to move.
	aloneTime = 2 * time.Second
	// decisionTime is how long before the deadline an order that cannot be completed is rolled back.
	decisionTime = 500 * time.Millisecond
)

// Record is the state of an order that outlives the leader.
type Record struct {
	Order Order `json:"order"`
	State State `json:"state"`
	// Why says what decided the state.
	Why string `json:"why,omitempty"`
	// Started is when the order was first known, in Unix milliseconds.
	Started int64 `json:"started"`
	// Fractions are those of requests that the target gets, by route; "" for all others.
	Fractions map[string]float64 `json:"fractions,omitempty"`
	// Others are the versions that were listed beside the target.
	Others []string `json:"others,omitempty"`
}

// Further reports whether a record is a later state of the same order than another.
func (r Record) Further(other Record) bool {
	if r.State.Ended() != other.State.Ended() {
		return r.State.Ended()
	}
	return !r.State.Ended() && r.sum() > other.sum()
}

func (r Record) sum() float64 {
	sum := 0.0
	for _, f := range r.Fractions {
		sum += f
	}
	return sum
}

// Fraction returns the fraction of a route's requests that the target gets.
func (r Record) Fraction(route string) float64 {
	if f, ok := r.Fractions[route]; ok {
		return f
	}
	return r.Fractions[""]
}

// Full reports whether the target gets all requests.
func (r Record) Full() bool {
	for _, f := range r.Fractions {
		if f < 1 {
			return false
		}
	}
	return len(r.Fractions) > 0
}

// Input is what a step depends on besides the evidence.
type Input struct {
	// Targets and Others count the ready endpoints of the target and of other versions.
	Targets, Others int
	// AtOthers is the number of requests in progress at endpoints of other versions. It is known if every
	// host that may send some has told it since it sends all to the target.
	AtOthers      int
	AtOthersKnown bool
	// Withdrawn is set if the operator has taken the order back.
	Withdrawn bool
}

// Machine is the state machine of one order. It is not safe for concurrent use.
type Machine struct {
	share   float64
	record  Record
	started time.Time

	judge   judge
	longest map[string]time.Duration // of answers of other versions, by route
	answers map[string]float64       // of all versions, by route
	// Since the last rise of a fraction:
	risenAt         time.Time
	targets, others float64 // answers
	// aloneSince is the time since which the target is the only version; zero if it is not.
	aloneSince time.Time
	why        string
}

// NewMachine returns the machine of an order in a recorded state. share is the part of all requests that a bad
// version may get, started the time of Record.Started.
func NewMachine(r Record, started time.Time, share float64) *Machine {
	r.Fractions = maps.Clone(r.Fractions)
	if len(r.Fractions) == 0 {
		r.Fractions = map[string]float64{"": canaryOfShare * share}
	}
	if r.State == "" {
		r.State = StateServing
	}
	return &Machine{share: share, record: r, started: started, risenAt: started, judge: judge{map[string]*track{}}, longest: map[string]time.Duration{}, answers: map[string]float64{}}
}

// Record returns the present state.
func (m *Machine) Record() Record {
	r := m.record
	r.Fractions = maps.Clone(r.Fractions)
	return r
}

// Waiting says what the order waits for; empty if for nothing but time.
func (m *Machine) Waiting() string { return m.why }

// Worst returns the strongest evidence against the target.
func (m *Machine) Worst() Finding { return m.judge.worst() }

// Deadline returns when the order is to be complete.
func (m *Machine) Deadline() time.Time { return m.started.Add(m.record.Order.Duration) }

// Observe takes in what endpoints have answered since the last call. It reports whether that has ended the
// order: a version that is bad is rolled back at once.
func (m *Machine) Observe(now time.Time, e Evidence) bool {
	if m.record.State.Ended() {
		return false
	}
	for route, row := range e {
		m.longest[route] = max(m.longest[route], row.Longest)
		m.answers[route] += row.Target.Answers + row.Others.Answers
		m.targets += row.Target.Answers
		m.others += row.Others.Answers
	}
	m.judge.add(now, e)
	if worst := m.judge.worst(); worst.bad() {
		m.end(StateRolledBack, worst.String())
	}
	return m.record.State.Ended()
}

func (m *Machine) end(s State, why string) { m.record.State, m.record.Why, m.why = s, why, "" }

// Step decides by the time that has passed. It returns the state and whether it differs from the one before.
func (m *Machine) Step(now time.Time, in Input) (Record, bool) {
	if m.record.State.Ended() {
		return m.Record(), false
	}
	before := m.Record()
	m.step(now, in)
	return m.Record(), m.record.State != before.State || !maps.Equal(m.record.Fractions, before.Fractions)
}

func (m *Machine) step(now time.Time, in Input) {
	if in.Others > 0 || in.Targets == 0 {
		m.aloneSince = time.Time{}
	} else if m.aloneSince.IsZero() {
		m.aloneSince = now
	}
	switch {
	case in.Withdrawn:
		m.end(StateRolledBack, "withdrawn by the operator")
		return
	case !m.aloneSince.IsZero() && now.Sub(m.aloneSince) >= aloneTime:
		m.end(StateCompleted, "no endpoint of another version is listed")
		return
	}
	m.rise(now, in)
	late := !now.Before(m.Deadline().Add(-decisionTime))
	switch worst := m.judge.worst(); {
	case m.record.Full() && worst.suspect() && !late:
		m.why = "suspicion: " + worst.String()
	case m.record.Full() && worst.suspect():
		m.end(StateRolledBack, "suspicion at the deadline: "+worst.String())
	case m.record.Full() && in.AtOthersKnown && in.AtOthers == 0:
		m.end(StateCompleted, fmt.Sprintf("nothing runs at other versions, %v before the deadline", m.Deadline().Sub(now).Round(time.Millisecond)))
	case m.record.Full() && in.AtOthersKnown:
		m.why = fmt.Sprintf("%d requests run at other versions", in.AtOthers)
	case m.record.Full():
		m.why = "not every host has told what runs at other versions"
	case late:
		m.end(StateRolledBack, "at the deadline: "+m.why)
	}
}

// rise raises the fractions whose time has come, unless something speaks against the target.
func (m *Machine) rise(now time.Time, in Input) {
	for route := range m.longest {
		if _, ok := m.record.Fractions[route]; !ok {
			m.record.Fractions[route] = m.record.Fractions[""]
		}
	}
	if m.why = m.hold(in); m.why != "" {
		return
	}
	risen := false
	for route, f := range m.record.Fractions {
		if next := m.scheduled(now, route, f); next > f {
			m.record.Fractions[route], risen = next, true
		}
	}
	if risen {
		m.risenAt, m.targets, m.others = now, 0, 0
	}
	if !m.record.Full() {
		m.why = "the time of the next step has not come"
	}
}

// hold says why no fraction may rise now; empty if it may.
func (m *Machine) hold(in Input) string {
	worst := m.judge.worst()
	switch {
	case in.Targets == 0:
		return "no endpoint of the target is listed as ready"
	case worst.suspect():
		return "suspicion: " + worst.String()
	case m.targets < minStepAnswers && (m.targets == 0 && m.others > 0 || m.targets < minEvidencePart*m.least()*(m.targets+m.others)):
		return fmt.Sprintf("%.0f answers of the target since the last step, %.0f of other versions", m.targets, m.others)
	}
	return ""
}

// least returns the smallest fraction.
func (m *Machine) least() float64 {
	least := 1.0
	for _, f := range m.record.Fractions {
		least = min(least, f)
	}
	return least
}

// scheduled returns the fraction of a route that is due. Requests that take long go to the target first, because
// what runs at other versions must end by the deadline.
func (m *Machine) scheduled(now time.Time, route string, present float64) float64 {
	full := m.Deadline().Add(-drainTime - m.longest[route])
	earliest := m.started.Add(time.Duration(minCanaryPart * float64(m.record.Order.Duration)))
	middle := full.Add(-stepTime)
	if middle.Before(earliest) {
		middle, full = earliest, earliest.Add(stepTime)
	}
	switch {
	case present < middleFraction && !now.Before(middle):
		return middleFraction
	case present >= middleFraction && !now.Before(full) && now.Sub(m.risenAt) >= stepTime/2:
		return 1
	}
	return present
}

// Brisk reports whether a step is due within stepLead or has been taken, so that evidence is needed soon.
func (m *Machine) Brisk(now time.Time) bool {
	if m.record.State.Ended() {
		return false
	}
	for route, f := range m.record.Fractions {
		if f >= middleFraction || m.scheduled(now.Add(stepLead), route, f) > f {
			return true
		}
	}
	return m.judge.worst().suspect()
}

// stepLead is how long before a step evidence is wanted faster.
const stepLead = time.Second

// NoteOthers adds to the versions that were listed beside the target.
func (m *Machine) NoteOthers(versions []string) {
	if m.record.State.Ended() {
		return
	}
	for _, v := range versions {
		if !slices.Contains(m.record.Others, v) {
			m.record.Others = append(slices.Clone(m.record.Others), v)
		}
	}
}

// Relocate sets the place of the order's record, which differs in a restored store.
func (m *Machine) Relocate(o Order) {
	if o.SameContent(m.record.Order) {
		m.record.Order = o
	}
}

// Adopt goes on at a later state that an earlier leader has told.
func (m *Machine) Adopt(r Record) {
	order, others := m.record.Order, m.record.Others
	m.record = r
	m.record.Order, m.record.Fractions = order, maps.Clone(r.Fractions)
	m.NoteOthers(others)
}

// Total returns the fraction of all requests that the target gets, by the requests of each route so far.
func (m *Machine) Total() float64 {
	all, target := 0.0, 0.0
	for route, n := range m.answers {
		all, target = all+n, target+n*m.record.Fraction(route)
	}
	if all == 0 {
		return m.record.Fraction("")
	}
	return target / all
}
