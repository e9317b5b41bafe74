package openai

// OperatorAddress returns where operators are served.
func (d *Daemon) OperatorAddress() string { return d.operators.Address() }
