package settings

import "net/netip"

// Admin configures the HTTP listener for operators, metrics and health checks.
type Admin struct {
	Listen string `yaml:"listen"`
	Token  string `yaml:"token"`
}

// Address returns the parsed listening address.
func (a Admin) Address() netip.AddrPort {
	return netip.MustParseAddrPort(a.Listen)
}

func (a Admin) rules() []rule {
	return []rule{addrPort("admin.listen", a.Listen), required("admin.token", a.Token)}
}
