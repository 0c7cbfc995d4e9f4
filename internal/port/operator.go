package port

// Names of the front ends and of the stop sequence.
const (
	CallerFrontName   = "front.caller"
	AnnounceFrontName = "front.announce"
	OperatorFrontName = "front.operator"
	LifecycleName     = "lifecycle"
)

// Lifecycle runs the graceful stop.
type Lifecycle interface {
	// BeginStop starts the stop sequence. Finished is called once, when no request is left.
	BeginStop(finished func())
}
