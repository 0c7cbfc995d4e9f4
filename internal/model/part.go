package model

// PromptPart is the id of a part of a prompt that several requests share, such as the instructions
// before a conversation. A request lists its parts in order.
type PromptPart string
