package config

import "kestrelspread/internal/node/config/rawjson"

func decodeRoute(item ItemPath, object []byte) (*Route, error) {
	route, r := new(Route), &fieldReader{item: item}
	r.readMembers(object, func(name, value []byte) {
		switch string(name) {
		case "name":
			r.readString(name, value, &route.Name)
		case "host":
			r.readString(name, value, &route.Host)
		case "pathPrefix":
			r.readString(name, value, &route.PathPrefix)
		case "kind":
			r.readString(name, value, (*string)(&route.Kind))
		case "timeoutMs":
			r.readNumber(name, value, &route.TimeoutMs)
		case "targetLatencyMs":
			r.readNumber(name, value, &route.TargetLatencyMs)
		case "priority":
			r.readInt(name, value, &route.Priority)
		case "service":
			r.readString(name, value, &route.Service)
		case "trafficSplit":
			route.TrafficSplit = decodeSplit(r, name, value)
		case "maxAttempts":
			r.readInt(name, value, &route.MaxAttempts)
		case "public":
			r.readBool(name, value, &route.Public)
		case "sticky":
			r.readBool(name, value, &route.Sticky)
		case "resumable":
			r.readBool(name, value, &route.Resumable)
		case "gap_aim_ms":
			r.readNumber(name, value, &route.GapTargetMs)
		}
	})
	return route, r.err
}

func decodeSplit(r *fieldReader, name, value []byte) []WeightedService {
	var split []WeightedService
	r.readList(name, value, func(step pathStep, value []byte) {
		var part WeightedService
		r.readObject(step, value, func(name, value []byte) {
			switch string(name) {
			case "service":
				r.readString(name, value, &part.Service)
			case "weight":
				r.readNumber(name, value, &part.Weight)
			}
		})
		split = append(split, part)
	})
	return split
}

func decodeService(item ItemPath, object []byte) (*Service, error) {
	service, r := new(Service), &fieldReader{item: item}
	r.readMembers(object, func(name, value []byte) {
		switch string(name) {
		case "name":
			r.readString(name, value, &service.Name)
		case "healthCheck":
			r.readString(name, value, &service.HealthCheck)
		case "maxConnections":
			r.readInt(name, value, &service.MaxConnections)
		case "protocol":
			r.readString(name, value, &service.Protocol)
		case "tls":
			r.readBool(name, value, &service.TLS)
		case "engine":
			service.Engine = decodeEngine(r, name, value)
		case "kvStoreAddr":
			r.readString(name, value, &service.KVStoreAddr)
		case "zone":
			r.readString(name, value, &service.Zone)
		case "kvCapacityTokens":
			r.readNumber(name, value, &service.KVCapacityTokens)
		case "linkMbps":
			r.readNumber(name, value, &service.LinkMbps)
		case "maxConcurrency":
			r.readInt(name, value, &service.MaxConcurrency)
		}
	})
	return service, r.err
}

func decodeEngine(r *fieldReader, name, value []byte) *Engine {
	if rawjson.IsNull(value) {
		return nil
	}
	engine := new(Engine)
	r.readObject(pathStep{name: string(name)}, value, func(name, value []byte) {
		switch string(name) {
		case "slots":
			r.readInt(name, value, &engine.Slots)
		case "kvCapacityTokens":
			r.readNumber(name, value, &engine.KVCapacityTokens)
		case "kvTokenBytes":
			r.readNumber(name, value, &engine.KVTokenBytes)
		case "linkMbps":
			r.readNumber(name, value, &engine.LinkMbps)
		case "stride":
			r.readInt(name, value, &engine.Stride)
		case "maxConcurrency":
			r.readInt(name, value, &engine.MaxConcurrency)
		case "models":
			engine.Models = decodeModels(r, name, value)
		}
	})
	return engine
}

func decodeModels(r *fieldReader, name, value []byte) []EngineModel {
	var models []EngineModel
	r.readList(name, value, func(step pathStep, value []byte) {
		var model EngineModel
		r.readObject(step, value, func(name, value []byte) {
			if string(name) == "name" {
				r.readString(name, value, &model.Name)
			}
		})
		models = append(models, model)
	})
	return models
}

func decodeTenant(item ItemPath, object []byte) (*Tenant, error) {
	tenant, r := new(Tenant), &fieldReader{item: item}
	r.readMembers(object, func(name, value []byte) {
		switch string(name) {
		case "name":
			r.readString(name, value, &tenant.Name)
		case "apiKeys":
			tenant.APIKeys = decodeKeys(r, name, value)
		case "priority":
			tenant.Priority = decodePriority(r, name, value)
		case "isolated":
			r.readBool(name, value, &tenant.Isolated)
		}
	})
	return tenant, r.err
}

func decodePriority(r *fieldReader, name, value []byte) *int {
	if rawjson.IsNull(value) {
		return nil
	}
	priority := new(int)
	r.readInt(name, value, priority)
	return priority
}

func decodeKeys(r *fieldReader, name, value []byte) []string {
	var keys []string
	r.readList(name, value, func(step pathStep, value []byte) {
		if !rawjson.IsString(value) {
			r.setError("a string", step)
			return
		}
		keys = append(keys, rawjson.String(value))
	})
	return keys
}

func decodeLimits(item ItemPath, object []byte) (Limits, error) {
	var limits Limits
	r := &fieldReader{item: item}
	if rawjson.IsNull(object) {
		return limits, nil
	}
	if !rawjson.IsObject(object) {
		return limits, invalid(item.String(), "must be an object")
	}
	r.readMembers(object, func(name, value []byte) {
		switch string(name) {
		case "maxHeaderBytes":
			r.readInt(name, value, &limits.MaxHeaderBytes)
		case "maxBodyBytes":
			r.readInt64(name, value, &limits.MaxBodyBytes)
		case "headerTimeoutMs":
			r.readNumber(name, value, &limits.HeaderTimeoutMs)
		case "idleTimeoutMs":
			r.readNumber(name, value, &limits.IdleTimeoutMs)
		}
	})
	return limits, r.err
}
