package ledger

import "cmp"

// Front is how a search arrived.
type Front uint8

// The fronts, and their number. Stored entries keep these values.
const (
	HTTP Front = iota
	GRPC
	FrontCount
)

// Outcome is a search's one final answer.
type Outcome uint8

// The outcomes, and their number. Stored entries keep these values.
const (
	Answered Outcome = iota
	Partial
	Shed
	Errored
	ClientCancelled // its client had gone before
	OutcomeCount
)

// The names in exports, tables and flags.
var (
	frontNames   = [FrontCount]string{"http", "grpc"}
	outcomeNames = [OutcomeCount]string{"answered", "partial", "shed", "errored", "left"}
)

// String returns the front's name in exports.
func (f Front) String() string { return frontNames[min(int(f), len(frontNames)-1)] }

// String returns the outcome's name in exports.
func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// Key is what uses are added up by.
type Key struct {
	Customer  string  `json:"Customer"`
	QueryType string  `json:"Kind"`
	Front     Front   `json:"Front"`
	Outcome   Outcome `json:"Outcome"`
}

// Less orders keys by customer, query type, front and outcome.
func (k Key) Less(other Key) bool {
	return cmp.Or(
		cmp.Compare(k.Customer, other.Customer),
		cmp.Compare(k.QueryType, other.QueryType),
		cmp.Compare(k.Front, other.Front),
		cmp.Compare(k.Outcome, other.Outcome),
	) < 0
}
