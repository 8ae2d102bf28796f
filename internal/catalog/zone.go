package catalog

// Zone is an availability zone.
type Zone struct{}

func (z *Zone) set(field, _ string) error { return unknownField(field) }

func (z *Zone) fields() []Field { return nil }

func (z *Zone) check(*Catalog) error { return nil }
