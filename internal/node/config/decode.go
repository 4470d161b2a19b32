package config

import "strconv"

// fieldReader takes typed fields out of JSON values and remembers the first that has another type. A null leaves a field
// as it is.
type fieldReader struct{ err error }

func (r *fieldReader) fail(path, wanted string) {
	if r.err == nil {
		r.err = invalid(path, "%s", wanted)
	}
}

func (r *fieldReader) text(path string, value []byte, into *string) {
	switch {
	case isString(value):
		*into = decodedString(value)
	case !isNull(value):
		r.fail(path, "must be a string")
	}
}

func (r *fieldReader) flag(path string, value []byte, into *bool) {
	switch string(value) {
	case "true":
		*into = true
	case "false":
		*into = false
	case "null":
	default:
		r.fail(path, "must be true or false")
	}
}

func (r *fieldReader) number(path string, value []byte, into *float64) {
	if isNull(value) {
		return
	}
	parsed, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		r.fail(path, "must be a number")
		return
	}
	*into = parsed
}

func (r *fieldReader) whole(path string, value []byte, into *int) {
	wide := int64(*into)
	r.whole64(path, value, &wide)
	*into = int(wide)
}

func (r *fieldReader) whole64(path string, value []byte, into *int64) {
	if isNull(value) {
		return
	}
	parsed, ok := decodedWhole(value)
	if !ok {
		r.fail(path, "must be a whole number")
		return
	}
	*into = parsed
}

// object calls visit for each member of an object.
func (r *fieldReader) object(path string, value []byte, visit func(name string, value []byte)) {
	if isNull(value) {
		return
	}
	if !isObject(value) {
		r.fail(path, "must be an object")
		return
	}
	_ = eachMember(value, func(name string, member []byte) error {
		visit(name, member)
		return r.err
	})
}

// list calls visit for each element of an array.
func (r *fieldReader) list(path string, value []byte, visit func(path string, value []byte)) {
	if isNull(value) {
		return
	}
	if !isArray(value) {
		r.fail(path, "must be a list")
		return
	}
	_ = eachElement(value, func(index int, element []byte) error {
		visit(indexed(path, index), element)
		return r.err
	})
}

func indexed(path string, index int) string { return path + "[" + strconv.Itoa(index) + "]" }

func decodeRoute(path string, object []byte) (*Route, error) {
	route, r := new(Route), new(fieldReader)
	r.object(path, object, func(name string, value []byte) {
		field := path + "." + name
		switch name {
		case "name":
			r.text(field, value, &route.Name)
		case "host":
			r.text(field, value, &route.Host)
		case "pathPrefix":
			r.text(field, value, &route.PathPrefix)
		case "kind":
			r.text(field, value, (*string)(&route.Kind))
		case "timeoutMs":
			r.number(field, value, &route.TimeoutMs)
		case "targetLatencyMs":
			r.number(field, value, &route.TargetLatencyMs)
		case "priority":
			r.whole(field, value, &route.Priority)
		case "service":
			r.text(field, value, &route.Service)
		case "trafficSplit":
			route.TrafficSplit = decodeSplit(r, field, value)
		case "maxAttempts":
			r.whole(field, value, &route.MaxAttempts)
		case "public":
			r.flag(field, value, &route.Public)
		case "sticky":
			r.flag(field, value, &route.Sticky)
		case "resumable":
			r.flag(field, value, &route.Resumable)
		case "gap_aim_ms":
			r.number(field, value, &route.GapAimMs)
		}
	})
	return route, r.err
}

func decodeSplit(r *fieldReader, path string, value []byte) []WeightedService {
	var split []WeightedService
	r.list(path, value, func(path string, value []byte) {
		var part WeightedService
		r.object(path, value, func(name string, value []byte) {
			switch name {
			case "service":
				r.text(path+".service", value, &part.Service)
			case "weight":
				r.number(path+".weight", value, &part.Weight)
			}
		})
		split = append(split, part)
	})
	return split
}

func decodeService(path string, object []byte) (*Service, error) {
	service, r := new(Service), new(fieldReader)
	r.object(path, object, func(name string, value []byte) {
		field := path + "." + name
		switch name {
		case "name":
			r.text(field, value, &service.Name)
		case "healthCheck":
			r.text(field, value, &service.HealthCheck)
		case "maxConnections":
			r.whole(field, value, &service.MaxConnections)
		case "protocol":
			r.text(field, value, &service.Protocol)
		case "tls":
			r.flag(field, value, &service.TLS)
		case "engine":
			service.Engine = decodeEngine(r, field, value)
		case "kvStoreAddr":
			r.text(field, value, &service.KVStoreAddr)
		case "zone":
			r.text(field, value, &service.Zone)
		case "kvCapacityTokens":
			r.number(field, value, &service.KVCapacityTokens)
		case "linkMbps":
			r.number(field, value, &service.LinkMbps)
		case "maxConcurrency":
			r.whole(field, value, &service.MaxConcurrency)
		}
	})
	return service, r.err
}

func decodeEngine(r *fieldReader, path string, value []byte) *Engine {
	if isNull(value) {
		return nil
	}
	engine := new(Engine)
	r.object(path, value, func(name string, value []byte) {
		field := path + "." + name
		switch name {
		case "slots":
			r.whole(field, value, &engine.Slots)
		case "kvCapacityTokens":
			r.number(field, value, &engine.KVCapacityTokens)
		case "kvTokenBytes":
			r.number(field, value, &engine.KVTokenBytes)
		case "linkMbps":
			r.number(field, value, &engine.LinkMbps)
		case "stride":
			r.whole(field, value, &engine.Stride)
		case "maxConcurrency":
			r.whole(field, value, &engine.MaxConcurrency)
		case "models":
			r.list(field, value, func(path string, value []byte) {
				engine.Models = append(engine.Models, decodeModel(r, path, value))
			})
		}
	})
	return engine
}

func decodeModel(r *fieldReader, path string, value []byte) EngineModel {
	var model EngineModel
	r.object(path, value, func(name string, value []byte) {
		if name == "name" {
			r.text(path+".name", value, &model.Name)
		}
	})
	return model
}

func decodeTenant(path string, object []byte) (*Tenant, error) {
	tenant, r := new(Tenant), new(fieldReader)
	r.object(path, object, func(name string, value []byte) {
		field := path + "." + name
		switch name {
		case "name":
			r.text(field, value, &tenant.Name)
		case "apiKeys":
			tenant.APIKeys = decodeKeys(r, field, value)
		case "priority":
			if !isNull(value) {
				tenant.Priority = new(int)
				r.whole(field, value, tenant.Priority)
			}
		case "isolated":
			r.flag(field, value, &tenant.Isolated)
		}
	})
	return tenant, r.err
}

func decodeKeys(r *fieldReader, path string, value []byte) []string {
	var keys []string
	r.list(path, value, func(path string, value []byte) {
		var key string
		r.text(path, value, &key)
		keys = append(keys, key)
	})
	return keys
}

func decodeLimits(path string, object []byte) (Limits, error) {
	var limits Limits
	r := new(fieldReader)
	r.object(path, object, func(name string, value []byte) {
		field := path + "." + name
		switch name {
		case "maxHeaderBytes":
			r.whole(field, value, &limits.MaxHeaderBytes)
		case "maxBodyBytes":
			r.whole64(field, value, &limits.MaxBodyBytes)
		case "headerTimeoutMs":
			r.number(field, value, &limits.HeaderTimeoutMs)
		case "idleTimeoutMs":
			r.number(field, value, &limits.IdleTimeoutMs)
		}
	})
	return limits, r.err
}
