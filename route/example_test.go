package route_test

import (
	"fmt"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
	"github.com/cicadanotch/cicadanotch/route"
)

// A process that embeds the package has one Index and one Table. It looks a prompt
// up, chooses an endpoint, and releases the booking when the answer has ended.
func Example() {
	index := prefix.NewIndex(0)
	table := route.NewTable(route.Location{Region: "plateau", Zone: "jos-a"}, route.DefaultOptions())
	var rows []route.Row
	for _, id := range []string{"gpu-1", "gpu-2"} {
		slot, err := index.Add(id)
		if err != nil {
			fmt.Println(err)
			return
		}
		rows = append(rows, route.Row{Slot: slot, Host: port.Host{
			ID: id, Service: "assistant", Region: "plateau", Zone: "jos-a",
		}})
	}
	table.Update(rows)

	prompt := prefix.Blocks("assistant-7b", string(make([]byte, 4096)))
	_ = index.Expect("gpu-2", prompt) // gpu-2 ran this prompt before

	var cached prefix.CachedPrefix
	index.Lookup(prompt, &cached)
	choice, err := table.Choose(&route.Query{
		Service: "assistant", AffinityKey: route.AffinityKey(prompt, &cached), PromptTokens: 1024, Cached: &cached,
	}, time.Now())
	fmt.Println(choice.Host.ID, choice.CachedTokens, err)
	table.Release(choice.Booking)
	// Output: gpu-2 1024 <nil>
}
