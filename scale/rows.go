package scale

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/cicadanotch/cicadanotch/member"
	"github.com/cicadanotch/cicadanotch/port"
)

// rowCount is how many rows the memory of a row is measured with.
const rowCount = 10_000

// entryRowBytes returns the memory of an entry host's row in another's tables:
// the list and the verdicts.
func entryRowBytes() float64 {
	before := heap()
	var rows []port.Host
	var members []member.Host
	for i := range rowCount {
		h := listedHost(i, port.RoleEntry)
		rows = append(rows, h)
		members = append(members, member.Host{ID: h.ID, Region: h.Region, Zone: h.Zone})
	}
	table := member.NewTable("h0", member.DefaultOptions())
	table.SetList(time.Now(), members)
	members = nil
	bytes := (heap() - before) / rowCount
	runtime.KeepAlive(rows)
	runtime.KeepAlive(table)
	runtime.KeepAlive(members)
	return bytes
}

// endpointRowBytes returns the memory of an endpoint's row of the list.
func endpointRowBytes() float64 {
	before := heap()
	var rows []port.Host
	for i := range rowCount {
		rows = append(rows, listedHost(i, port.RoleEndpoint))
	}
	bytes := (heap() - before) / rowCount
	runtime.KeepAlive(rows)
	return bytes
}

// wireBytes returns the bytes of one row of the list as JSON.
func wireBytes(role port.HostRole) float64 {
	raw, err := json.Marshal(listedHost(rowCount, role))
	if err != nil {
		return 0 // strings and numbers always encode
	}
	return float64(len(raw) + 1)
}

func listedHost(i int, role port.HostRole) port.Host {
	at := zonePlaces[i%len(zonePlaces)]
	return port.Host{
		ID: fmt.Sprintf("%s-%s-%d", at.zone, role, i), Role: role, Region: at.region, Zone: at.zone,
		Class: fmt.Sprint("class-", i%4), Service: fmt.Sprint("service-", i%28), State: port.HostLive,
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), PeerAddress: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
	}
}
