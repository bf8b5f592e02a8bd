package settings

import "github.com/poplarwinch/poplarwinch"

// Instance identifies the instance, its service and its location.
type Instance struct {
	ID poplarwinch.InstanceID
	// Service is the service of the manifest that the instance serves.
	Service       string
	Region        string
	FailureDomain poplarwinch.FailureDomain
}

func (i *Instance) read(r *reader) {
	const section = "instance"
	i.ID = poplarwinch.InstanceID(r.name(section, "id", "write an id that no other instance uses"))
	i.Service = r.name(section, "service", "write the service that the manifest names")
	i.Region = r.name(section, "region", "write the name of the region")
	i.FailureDomain = poplarwinch.FailureDomain(
		r.name(section, "failure-domain", "write the name of the failure domain, as the instance list names it"))
}
