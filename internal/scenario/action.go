package scenario

// Action is what a step does.
type Action string

// Actions on nodes. On a zone or region they concern all nodes in it.
const (
	Kill    Action = "kill"
	Start   Action = "start"
	Stop    Action = "stop"    // graceful shutdown
	Restart Action = "restart" // rolling: stop, start and wait, one node after the other
	Freeze  Action = "freeze"
	Thaw    Action = "thaw"
	Wipe    Action = "wipe"    // kill, and empty the data folder
	Replace Action = "replace" // kill, and start a new control node in its zone
	Cut     Action = "cut"
	Heal    Action = "heal"
	Delay   Action = "delay"
)

// Actions on replicas.
const (
	ReplicaFault Action = "replica_fault"
	Drain        Action = "drain" // the replica reports that it is draining
	Undrain      Action = "undrain"
	ListDrain    Action = "list_drain" // the platform lists it as draining
	ListUndrain  Action = "list_undrain"
)

// Actions of operators.
const (
	Configure    Action = "configure"
	ConfigureBad Action = "configure_bad" // a configuration that validation refuses
	Outrace      Action = "outrace"       // a configuration on an old base version
	Race         Action = "race"          // two operators on one base version
	LoseAnswer   Action = "lose_answer"   // send, lose the answer, resend to every node
	Resend       Action = "resend"        // resend the latest operations to every node
	Evacuate     Action = "evacuate"
	Withdraw     Action = "withdraw"
	Fill         Action = "fill" // many operations that change nothing but the log
	Read         Action = "read" // read configuration and zones back
)

// Actions on the load.
const (
	Crowd Action = "crowd" // additional load
	Calm  Action = "calm"  // the end of it
	Swing Action = "swing"
	Move  Action = "move" // clients move from one region to another
	Wait  Action = "wait"
)

// required says which fields of a step an action needs.
type required struct {
	target, to, fault, factor, count, length bool
}

// requirements has an entry for each action.
var requirements = map[Action]required{
	Kill: {target: true}, Start: {target: true}, Stop: {target: true}, Restart: {target: true},
	Freeze: {target: true}, Thaw: {target: true}, Wipe: {target: true}, Replace: {target: true},
	Cut: {target: true}, Heal: {target: true}, Delay: {target: true},
	ReplicaFault: {target: true, fault: true}, Drain: {target: true}, Undrain: {target: true},
	ListDrain: {target: true}, ListUndrain: {target: true},
	Configure: {}, ConfigureBad: {}, Outrace: {}, Race: {}, LoseAnswer: {}, Resend: {},
	Evacuate: {target: true}, Withdraw: {target: true}, Fill: {count: true}, Read: {},
	Crowd: {factor: true}, Calm: {}, Swing: {factor: true, length: true},
	Move: {target: true, to: true, length: true}, Wait: {},
}
