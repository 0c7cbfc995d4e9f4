package model

import "fmt"

// Tier is the priority of a request. A smaller number is more urgent.
type Tier uint8

// The four tiers, most urgent first.
const (
	Urgent Tier = iota
	Interactive
	Standard
	Batch
)

// TierCount is the number of tiers.
const TierCount = 4

var tierNames = [TierCount]string{"urgent", "interactive", "standard", "batch"}

// String returns the tier's name.
func (t Tier) String() string {
	if int(t) < TierCount {
		return tierNames[t]
	}
	return fmt.Sprintf("tier(%d)", uint8(t))
}

// InvalidTierError reports text that is not the name of a tier.
type InvalidTierError struct{ Text string }

func (e *InvalidTierError) Error() string {
	return fmt.Sprintf("invalid tier %q: want urgent, interactive, standard or batch", e.Text)
}

// ParseTier parses the name of a tier.
func ParseTier(text string) (Tier, error) {
	for i, name := range tierNames {
		if name == text {
			return Tier(i), nil
		}
	}
	return 0, &InvalidTierError{Text: text}
}
