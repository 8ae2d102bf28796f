package catalog

// The roles of a pool.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleService = "service"
)

// The states of a pool.
const (
	PoolRunning = "running"
	PoolStopped = "stopped"
)

// Pool is a set of endpoints in one zone with one role.
type Pool struct {
	Zone   string
	Role   string
	Serves string // model or plain service
	State  string
}

func (p *Pool) set(field, value string) error {
	switch field {
	case "zone":
		p.Zone = value
	case "role":
		return parseInto(&p.Role, parseEnum(RolePrefill, RoleDecode, RoleService), value)
	case "serves":
		p.Serves = value
	case "state":
		return parseInto(&p.State, parseEnum(PoolRunning, PoolStopped), value)
	default:
		return unknownField(field)
	}
	return nil
}

func (p *Pool) fields() []Field {
	return []Field{{"zone", p.Zone}, {"role", p.Role}, {"serves", p.Serves}, {"state", p.State}}
}

func (p *Pool) check(all *Catalog) error {
	if _, ok := all.Zones[p.Zone]; !ok {
		return Error.New("zone %q does not exist", p.Zone)
	}
	if p.Role == "" || p.Serves == "" {
		return Error.New("role and serves must be given")
	}
	return nil
}
