package route_test

import (
	"fmt"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
	"github.com/cicadanotch/cicadanotch/route"
)

// An embedding process keeps one Index and one Table, looks a prompt up,
// chooses, and gives the booking back when the answer has ended.
func Example() {
	index := prefix.NewIndex(0)
	table := route.NewTable(route.Place{Region: "plateau", Zone: "jos-a"}, route.DefaultOptions())
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

	var held prefix.Held
	index.Lookup(prompt, &held)
	choice, err := table.Choose(&route.Query{
		Service: "assistant", Prefix: route.PrefixOf(prompt, &held), PromptTokens: 1024, Held: &held,
	}, time.Now())
	fmt.Println(choice.Host.ID, choice.CachedTokens, err)
	table.Release(choice.Booking)
	// Output: gpu-2 1024 <nil>
}
