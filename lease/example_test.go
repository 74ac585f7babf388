package lease_test

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/record"
)

// A process takes a lease by appending a record to the log. It acts with the
// offset of the record as fencing token until the lease expires by its own clock.
func Example() {
	table := lease.NewTable()
	member := lease.NewMember("capacity/assistant-llm", "jos-a-entry-1/4f2a", lease.DefaultOptions())
	now := time.Unix(0, 0)

	member.Observe(now, table.Get("capacity/assistant-llm"))
	action := member.Next(now, now)
	body, err := json.Marshal(action.Change)
	if err != nil {
		fmt.Println(err)
		return
	}
	e := record.Envelope{ID: "r1", Kind: record.KindLease, Version: 1, Body: body}
	member.Appending(now, e.ID)
	if err := table.Fold(record.Position{Offset: 41}, e); err != nil {
		fmt.Println(err)
		return
	}
	member.Observe(now, table.Get("capacity/assistant-llm"))

	token, ok := member.Held(now.Add(time.Second))
	fmt.Println(token, ok)
	_, ok = member.Held(now.Add(9 * time.Second))
	fmt.Println(ok)
	// Output:
	// 41 true
	// false
}
