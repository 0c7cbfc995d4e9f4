// Package quarantine is the service that shares the evidence against parts of prompts between the instances.
//
// Each instance has a ledger of its own, which decides about its own requests. An instance that takes
// requests sends its changes to the core instances that it follows, and gets all evidence from them; core
// instances send theirs to each other and to their followers. No message needs an answer: a connection that
// is reset begins with the whole ledger, so that an instance which has restarted learns it again from any
// other. Without a core instance in reach, an instance decides by what it knows.
package quarantine
