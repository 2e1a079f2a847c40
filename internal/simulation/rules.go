package simulation

// Rule is an invariant that must hold in every history, as reports show it.
type Rule string

// The rules. Election safety, leader completeness, log matching and state machine safety
// are those of the Raft paper.
const (
	RuleElectionSafety     Rule = "one leader a term"
	RuleLeaderCompleteness Rule = "a new leader holds everything committed"
	RuleLogMatching        Rule = "logs match"
	RuleStateMachineSafety Rule = "state machines agree"
	RuleSerialIncrease     Rule = "the serial rises with each change"
	RuleSingleAnswer       Rule = "an order has one answer"
	RuleDurability         Rule = "what was acknowledged stays"
	RuleQuorumContact      Rule = "no fresh contact beside a successor"
	RuleSerialInForce      Rule = "nobody acts on an older serial than acknowledged"
	RuleLinearizability    Rule = "orders are linearizable"
	RuleProgress           Rule = "service returns"
)
