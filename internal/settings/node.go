package settings

// Node names this process and its availability zone.
type Node struct {
	ID   string `yaml:"id"`
	Zone string `yaml:"zone"`
}

func (n Node) rules() []rule {
	return []rule{required("node.id", n.ID), required("node.zone", n.Zone)}
}
