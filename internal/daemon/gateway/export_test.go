package gateway

import "azurehitch/internal/allowance/allowancepeer"

// Allowances returns what charges requests to the allowances of their accounts.
func (d *Daemon) Allowances() *allowancepeer.Client { return d.allowances }
