package intake

// Refusal is why a caller is refused. Its text is the value of the metric's label.
type Refusal string

// Refusals.
const (
	Accepted          Refusal = ""
	HeaderTooLarge    Refusal = "header_bytes"
	TooManyLines      Refusal = "header_lines"
	EmptyLines        Refusal = "empty_lines"
	Malformed         Refusal = "malformed"
	HeaderTimeout     Refusal = "header_time"
	MemoryUsed        Refusal = "memory"
	ConnectionsUsed   Refusal = "connections"
	AddressConnection Refusal = "connections_by_address"
)

// Status returns the HTTP status that says so. None of them may be sent for a request that has run.
func (r Refusal) Status() int {
	switch r {
	case HeaderTooLarge, TooManyLines:
		return 431
	case EmptyLines, Malformed:
		return 400
	case HeaderTimeout:
		return 408
	case AddressConnection:
		return 429
	default:
		// The caller did nothing wrong, or only the crowd as a whole did.
		return 503
	}
}
