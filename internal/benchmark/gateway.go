package benchmark

var gatewayMeasurements = []measurement{
	{"latency", measureLatency},
	{"capacity", measureCapacity},
}

// Gateway runs the measurements of one gateway between callers and stand-in replicas. If
// one fails, Gateway returns the error and the tables completed before it.
func Gateway(o Options) ([]Table, error) { return o.measure("callers", gatewayMeasurements) }
