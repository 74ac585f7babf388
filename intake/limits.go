package intake

// Parts of a process's limits: those of the descriptors are of what files leave. The rest is for endpoints and the store: each
// request that is served needs a connection to an endpoint.
const (
	memoryPartsOf     = 16
	callerMemoryParts = 4
	peerMemoryParts   = 2
	// fileDescriptors are those that sockets may not use.
	fileDescriptors       = 200
	descriptorPartsOf     = 18
	callerDescriptorParts = 9
	peerDescriptorParts   = 3
	tunnelDescriptorParts = 1
	// connectionMemoryParts is the part of the memory, one of so many, that connections without requests may use.
	connectionMemoryParts = 2
	minConnections        = 16
	// defaultMemory and defaultDescriptors are assumed as the limits of a process that has none.
	defaultMemory      = 256 << 20
	defaultDescriptors = 4096
)

// Limits are the limits of a Table.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Memory is what they may hold together, in bytes.
	Memory int64
}

// LimitsOf returns the limits of connections of callers, in a process with a memory limit in bytes and a limit of
// descriptors; zero for none.
func LimitsOf(memory int64, descriptors int) Limits {
	return limitsOf(memory, callerMemoryParts, descriptors, callerDescriptorParts)
}

// PeerLimitsOf returns the limits of connections of other hosts, as LimitsOf.
func PeerLimitsOf(memory int64, descriptors int) Limits {
	return limitsOf(memory, peerMemoryParts, descriptors, peerDescriptorParts)
}

func limitsOf(memory, memoryParts int64, descriptors, parts int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	l := Limits{Memory: memory / memoryPartsOf * memoryParts}
	l.Connections = max(minConnections, min(partOf(descriptors, parts), int(l.Memory/connectionMemoryParts/connectionBytes)))
	return l
}

// TunnelsOf returns how many connections a process with a limit of descriptors may carry for other hosts.
func TunnelsOf(descriptors int) int {
	return max(minConnections, partOf(descriptors, tunnelDescriptorParts))
}

func partOf(descriptors, parts int) int {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return (descriptors - fileDescriptors) * parts / descriptorPartsOf
}
