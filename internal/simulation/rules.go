package simulation

// Rule is a property that must hold in every history. The text is shown in reports.
type Rule string

// The rules. Election safety, leader completeness, log matching and state machine safety
// are those of the Raft paper.
const (
	RuleElectionSafety     Rule = "election safety: at most one leader per term"
	RuleLeaderCompleteness Rule = "leader completeness: a new leader has all committed entries"
	RuleLogMatching        Rule = "log matching: entries with equal index and term are equal"
	RuleStateMachineSafety Rule = "state machine safety: all machines apply the same entries"
	RuleSerialIncrease     Rule = "the serial increases with each change"
	RuleSingleAnswer       Rule = "an order has only one answer"
	RuleDurability         Rule = "acknowledged changes are durable"
	RuleQuorumContact      Rule = "no quorum contact after the election of a successor"
	RuleSerialInForce      Rule = "no gateway acts on a serial older than the one in force"
	RuleLinearizability    Rule = "orders are linearizable"
	RuleProgress           Rule = "the service recovers after faults"
)
