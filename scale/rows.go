package scale

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/cicadanotch/cicadanotch/member"
	"github.com/cicadanotch/cicadanotch/port"
)

// rowCount is the number of rows over which the memory of a row is averaged.
const rowCount = 10_000

// entryRowBytes returns the memory that an entry host uses for each other entry host: its
// row of the host list and that of the membership table.
func entryRowBytes() float64 {
	before := heapBytes()
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
	bytes := (heapBytes() - before) / rowCount
	runtime.KeepAlive(rows)
	runtime.KeepAlive(table)
	runtime.KeepAlive(members)
	return bytes
}

// endpointRowBytes returns the memory of an endpoint's row of the host list.
func endpointRowBytes() float64 {
	before := heapBytes()
	var rows []port.Host
	for i := range rowCount {
		rows = append(rows, listedHost(i, port.RoleEndpoint))
	}
	bytes := (heapBytes() - before) / rowCount
	runtime.KeepAlive(rows)
	return bytes
}

// encodedRowBytes returns the size of one row of the host list as JSON.
func encodedRowBytes(role port.HostRole) float64 {
	raw, err := json.Marshal(listedHost(rowCount, role))
	if err != nil {
		return 0 // encoding strings and numbers cannot fail
	}
	return float64(len(raw) + 1)
}

func listedHost(i int, role port.HostRole) port.Host {
	at := zoneLocations[i%len(zoneLocations)]
	return port.Host{
		ID: fmt.Sprintf("%s-%s-%d", at.zone, role, i), Role: role, Region: at.region, Zone: at.zone,
		Class: fmt.Sprint("class-", i%4), Service: fmt.Sprint("service-", i%28), State: port.HostLive,
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), PeerAddress: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
	}
}
