package intake

import "time"

const (
	// DefaultHeaderBytes is the limit of the platform's configurations.
	DefaultHeaderBytes = 16 << 10
	// MaxHeaderBytes is the highest limit that a setting or a configuration may have.
	MaxHeaderBytes = 64 << 10
	// SlackBytes is added to the limit of a header section, as net/http does for its MaxHeaderBytes: a caller
	// may count names and values without the separators.
	SlackBytes = 4096
	// DefaultHeaderLines is above the number of lines of 16 bytes in a section of DefaultHeaderBytes.
	DefaultHeaderLines = 1024
	// EmptyLineBytes is what net/http skips before a request that follows a POST.
	EmptyLineBytes = 4
	// DefaultHeaderTime is the limit of the platform's configurations of 3 s and a second for the network and
	// for a process that waits for its processor.
	DefaultHeaderTime = 4 * time.Second

	// ConnectionBytes is the memory of a connection before its request is parsed: two buffers of 4 KB, the stack
	// of its goroutine, and the objects of net/http and the network.
	ConnectionBytes = 20 << 10
	// lineBytes is the memory of a header line in addition to its text: the entry of the map with the space that
	// the map keeps free, the slice of its values, and the field that is forwarded.
	lineBytes = 160
	// textFactor allows for the name and the value in memory and for their copies while they are parsed.
	textFactor = 2
	// OrdinaryBytes is the memory of a header section up to which it is an ordinary one; larger ones are
	// limited together, so that they leave room for the others.
	OrdinaryBytes = 32 << 10
	// LargeShare is the share of the budget for the larger ones.
	LargeShare = 0.75

	// sectionShare is the share of the memory of a process that header sections may use.
	sectionShare = 0.08
	// unlimitedSections is the budget where the memory is not limited.
	unlimitedSections = 64 << 20
	// minSections holds the largest section that the settings allow, and ordinary ones.
	minSections = 2 << 20
	// connectionShare is the share of the memory for ConnectionBytes of all connections.
	connectionShare = 0.16
	// ownDescriptors are those for files, listeners, the runtime and connections between instances.
	ownDescriptors = 150
	// maxOwnCalls is the highest number of connections to backend servers; a process with few descriptors has a
	// third of them for those.
	maxOwnCalls = 1000
	// minConnections lets readiness checks and operators in where the limits are set far too low.
	minConnections = 16
)

// SectionBudget returns the bytes that header sections may use in a process with a memory limit in bytes; 0 is no
// limit.
func SectionBudget(memory int64) int64 {
	if memory <= 0 {
		return unlimitedSections
	}
	return max(int64(sectionShare*float64(memory)), minSections)
}

// ConnectionLimit returns the number of connections for a process that may open a number of descriptors and has a
// memory limit in bytes; 0 is no memory limit.
func ConnectionLimit(descriptors int, memory int64) int {
	n := descriptors - ownDescriptors - min(descriptors/3, maxOwnCalls)
	if memory > 0 {
		n = min(n, ConnectionsInMemory(memory))
	}
	return max(n, minConnections)
}

// ConnectionsInMemory returns the number of connections that fit into their share of a memory limit in bytes.
func ConnectionsInMemory(memory int64) int {
	return int(connectionShare * float64(memory) / ConnectionBytes)
}
