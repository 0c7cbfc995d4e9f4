package kernel

import (
	"context"
	"reflect"
	"slices"
)

// Service is a component of the process that other services resolve by name.
type Service interface {
	// Name is the name under which other services resolve this one.
	Name() string
	// Needs lists the names of the services that Provision resolves.
	Needs() []string
	// Provision resolves other services. It starts no duty and opens no port.
	Provision(r Resolver) error
	// Start opens ports and starts duties. The services in Needs are already running.
	Start(h *Host) error
	// Stop closes the ports and ends the duties of Start. The services that need this one have
	// already stopped.
	Stop(ctx context.Context) error
}

// HealthReporter is implemented by services that can be unhealthy while running.
type HealthReporter interface {
	// Health returns nil while the service is healthy.
	Health() error
}

// Resolver looks services up for one service during Provision.
type Resolver struct {
	kernel  *Kernel
	service Service
}

// Resolve returns the service registered under name as a T.
func Resolve[T any](r Resolver, name string) (T, error) {
	var zero T
	if !slices.Contains(r.service.Needs(), name) {
		return zero, &UndeclaredNeedError{Service: r.service.Name(), Name: name}
	}
	s, ok := r.kernel.services[name]
	if !ok {
		return zero, &MissingNameError{Service: r.service.Name(), Needs: name}
	}
	v, ok := s.(T)
	if !ok {
		return zero, &WrongTypeError{Name: name, Want: reflect.TypeFor[T]().String()}
	}
	return v, nil
}

// Binding resolves one service by name and stores it in a variable.
type Binding func(r Resolver) error

// Into returns a Binding that stores the service registered under name in *target.
func Into[T any](name string, target *T) Binding {
	return func(r Resolver) error {
		v, err := Resolve[T](r, name)
		if err == nil {
			*target = v
		}
		return err
	}
}

// Bind applies the bindings in order and returns the first error.
func (r Resolver) Bind(bindings ...Binding) error {
	for _, b := range bindings {
		if err := b(r); err != nil {
			return err
		}
	}
	return nil
}

// Kernel holds the registered services and runs their life cycle.
type Kernel struct {
	services map[string]Service
	names    []string
	started  []Service
	host     *Host
}

// New returns an empty kernel. onPanic is called at most once for each duty that panics.
func New(onPanic func(error)) *Kernel {
	return &Kernel{services: make(map[string]Service), host: newHost(onPanic)}
}

// Register adds a service. It fails if the name is taken.
func (k *Kernel) Register(s Service) error {
	name := s.Name()
	if _, taken := k.services[name]; taken {
		return &DuplicateNameError{Name: name}
	}
	k.services[name] = s
	k.names = append(k.names, name)
	return nil
}

// Start sorts all services by their dependencies, then provisions and starts them. If one fails to
// start, those already started are stopped in reverse order.
func (k *Kernel) Start(ctx context.Context) error {
	services, err := k.startOrder()
	if err != nil {
		return err
	}
	for _, s := range services {
		if err := s.Provision(Resolver{kernel: k, service: s}); err != nil {
			return &ServiceError{Service: s.Name(), Step: "provision", Err: err}
		}
	}
	for _, s := range services {
		if err := s.Start(k.host); err != nil {
			_ = k.Stop(ctx)
			return &ServiceError{Service: s.Name(), Step: "start", Err: err}
		}
		k.started = append(k.started, s)
	}
	return nil
}

// Stop stops the started services in reverse order, then cancels all duties and waits for them.
// It stops every service even if one fails, and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for _, s := range slices.Backward(k.started) {
		if err := s.Stop(ctx); err != nil && first == nil {
			first = &ServiceError{Service: s.Name(), Step: "stop", Err: err}
		}
	}
	k.started = nil
	k.host.stop()
	return first
}

// Health returns the errors of the unhealthy services, by service name.
func (k *Kernel) Health() map[string]error {
	unhealthy := make(map[string]error)
	for _, s := range k.started {
		r, ok := s.(HealthReporter)
		if !ok {
			continue
		}
		if err := r.Health(); err != nil {
			unhealthy[s.Name()] = err
		}
	}
	return unhealthy
}

// Host returns the host that runs this kernel's duties.
func (k *Kernel) Host() *Host { return k.host }

// startOrder sorts the services topologically: each follows those that it needs. The result
// depends only on the order of registration.
func (k *Kernel) startOrder() ([]Service, error) {
	const visiting, visited = 1, 2
	marks := make(map[string]int)
	var path []string
	var out []Service
	var visit func(name string) error
	visit = func(name string) error {
		switch marks[name] {
		case visited:
			return nil
		case visiting:
			from := slices.Index(path, name)
			return &CycleError{Names: append(slices.Clone(path[from:]), name)}
		}
		marks[name] = visiting
		path = append(path, name)
		s := k.services[name]
		for _, need := range s.Needs() {
			if _, ok := k.services[need]; !ok {
				return &MissingNameError{Service: name, Needs: need}
			}
			if err := visit(need); err != nil {
				return err
			}
		}
		path = path[:len(path)-1]
		marks[name] = visited
		out = append(out, s)
		return nil
	}
	for _, name := range k.names {
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return out, nil
}
