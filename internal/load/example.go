package load

import "time"

// exampleOfficeMix is the workload of the footwear office for a fleet that runs the
// configuration of examples/office; it uses the teams and pools of that configuration.
func exampleOfficeMix() Mix {
	return Mix{Name: "example-office", Classes: []Class{
		{Name: "chat", Share: 30, Team: "fitters", Tier: "urgent", Model: "fitting-chat", PromptBytes: [2]int{200, 2000}, Tokens: [2]int{8, 40}, Prefixes: 20, Deadline: 8 * time.Second},
		{Name: "note", Share: 20, Team: "fitters", Tier: "interactive", Model: "fitting-notes", PromptBytes: [2]int{1000, 8000}, Tokens: [2]int{30, 120}, Prefixes: 10, Deadline: 15 * time.Second},
		{Name: "summary", Share: 25, Team: "records", Tier: "batch", Model: "fitting-summaries", PromptBytes: [2]int{4000, 30000}, Tokens: [2]int{40, 200}, Deadline: 30 * time.Second},
		{Name: "stock", Share: 15, Team: "stockroom", Tier: "interactive", Service: "booking", Path: "/stock", Deadline: 5 * time.Second},
		{Name: "slot", Share: 5, Team: "studios", Tier: "interactive", Service: "booking", Path: "/slots", Keyed: true, Deadline: 10 * time.Second},
		{Name: "loaner", Share: 5, Team: "partners", Tier: "standard", Service: "booking", Path: "/loaners", Keyed: true, Deadline: 10 * time.Second, Impatient: true},
	}}
}
