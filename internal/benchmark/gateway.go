package benchmark

var gatewayMeasurements = []measurement{
	{"latency", measureLatency},
	{"capacity", measureCapacity},
}

// Gateway measures one gateway between callers and stand-in replicas. Its tables
// are those that were finished if it returns an error.
func Gateway(o Options) ([]Table, error) { return o.measure("callers", gatewayMeasurements) }
