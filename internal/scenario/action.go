package scenario

// Action is the kind of a step.
type Action string

// Actions on nodes. If the target is a zone or region, they affect all nodes in it.
const (
	Kill    Action = "kill"
	Start   Action = "start"
	Stop    Action = "stop"    // graceful shutdown
	Restart Action = "restart" // rolling: stop one node, start it, wait until it is ready, then the next
	Freeze  Action = "freeze"
	Thaw    Action = "thaw"
	Wipe    Action = "wipe"    // kill, and delete the contents of the data folder
	Replace Action = "replace" // kill, and start a new control node in the same zone
	Cut     Action = "cut"
	Heal    Action = "heal"
	Delay   Action = "delay"
)

// Actions on replicas.
const (
	ReplicaFault Action = "replica_fault"
	Drain        Action = "drain" // the replica reports that it is draining
	Undrain      Action = "undrain"
	ListDrain    Action = "list_drain" // the platform lists the replica as draining
	ListUndrain  Action = "list_undrain"
)

// Actions of operators.
const (
	Configure    Action = "configure"
	ConfigureBad Action = "configure_bad" // send a configuration that validation rejects
	Outrace      Action = "outrace"       // send a configuration with an outdated base version
	Race         Action = "race"          // two operators send configurations with the same base version
	LoseAnswer   Action = "lose_answer"   // send a configuration, lose the answer, resend to every node
	Resend       Action = "resend"        // resend the latest operations to every node
	Evacuate     Action = "evacuate"
	Withdraw     Action = "withdraw"
	Fill         Action = "fill" // many operations that have no effect except to extend the log
	Read         Action = "read" // read the configuration and the zones back
)

// Actions on the load.
const (
	Crowd Action = "crowd" // additional load
	Calm  Action = "calm"  // end the additional load
	Swing Action = "swing"
	Move  Action = "move" // clients move from one region to another
	Wait  Action = "wait"
)

// required lists the step fields that an action requires.
type required struct {
	target, to, fault, factor, count, length bool
}

// requirements holds the required fields of every valid action.
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
