package claim_test

import (
	"encoding/json"
	"fmt"

	"github.com/cicadanotch/cicadanotch/claim"
	"github.com/cicadanotch/cicadanotch/record"
)

// Two hosts claim the same request; the first claim in the log owns it.
func Example() {
	table := claim.NewTable()
	key := claim.Key{Service: "store-api", Workspace: "bokkos-coop", Key: "k:order-17"}
	for i, host := range []string{"jos-a-entry-1", "jos-b-entry-1"} {
		body, err := json.Marshal(claim.Claim{Key: key, Digest: 7, Owner: host})
		if err != nil {
			fmt.Println(err)
			return
		}
		e := record.Envelope{ID: "claim-of-" + host, Kind: record.KindClaim, Version: 1, Source: host, Body: body}
		if err := table.Fold(record.Position{Offset: int64(i + 1)}, e); err != nil {
			fmt.Println(err)
			return
		}
	}
	entry, known, _ := table.Get(key)
	fmt.Println(claim.Decide(entry, known, 7, "claim-of-jos-a-entry-1"))
	fmt.Println(claim.Decide(entry, known, 7, "claim-of-jos-b-entry-1"))
	fmt.Println(claim.Decide(entry, known, 8, ""))
	// Output:
	// dispatch
	// wait
	// conflict
}
