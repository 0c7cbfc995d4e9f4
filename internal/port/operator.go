package port

// Names of the front ends and of the stop sequence.
const (
	CallerFrontName   = "front.caller"
	AnnounceFrontName = "front.announce"
	OperatorFrontName = "front.operator"
	LifecycleName     = "lifecycle"
)

// Lifecycle runs the graceful shutdown.
type Lifecycle interface {
	// BeginStop starts the stop sequence. It calls finished once, when no request is left.
	BeginStop(finished func())
}
