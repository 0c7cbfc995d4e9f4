package model

// AnswerKind states what an AnswerEvent carries.
type AnswerKind uint8

// Kinds of answer events. A caller receives AnswerHead, any number of AnswerData, then
// AnswerEnd; or AnswerFailed at any point, which is the last event.
const (
	AnswerHead AnswerKind = iota
	AnswerData
	AnswerEnd
	AnswerFailed
)

// AnswerEvent is one event of an answer that is streamed to a caller.
type AnswerEvent struct {
	Kind        AnswerKind
	Status      int
	ContentType string
	Data        []byte
	// Tokens is the number of generated tokens in Data, or in the whole answer with AnswerEnd.
	Tokens int
	// Err is set with AnswerFailed.
	Err error
}
