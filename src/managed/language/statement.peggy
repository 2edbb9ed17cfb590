// Grammar of the operators' language: one statement is one command or one query.
// Each word is a named rule, so that a syntax error has the offset of the unexpected word and lists the
// accepted words. Names in angle brackets are placeholders for values.
{{
  import {
    isAddressText,
    isName,
    isPositiveInteger,
    isTime,
  } from '../word-checks.js';
  import { MAX_PLAN_DELAY_MS } from '../../control/commands.js';
  import { parseAddress } from '../../../shared/common/address.js';

  function command(value) {
    return { kind: 'command', command: value };
  }

  function query(value) {
    return { kind: 'query', query: value };
  }

  function basedOn(version) {
    return version === null ? {} : { basedOnVersion: version };
  }
}}

Statement
  = _ statement:(Planned / Change / CancelPlan / Query) _ { return statement; }

Planned
  = when:When _ change:Change {
      return command({ type: 'plan-change', when, change: change.command });
    }

When
  = AT _ atMs:Time { return { atMs }; }
  / IN _ amount:Amount _ unitMs:Unit {
      const inMs = amount * unitMs;
      if (inMs > MAX_PLAN_DELAY_MS) {
        error('A change is planned at most 366 days ahead.');
      }
      return { inMs };
    }

Change
  = DefineService
  / ChangeService
  / RetireService
  / AddBackend
  / DrainBackend
  / CancelDrain
  / RetireBackend

DefineService
  = DEFINE _ SERVICE _ service:Service _ AT _ address:Address policy:PolicyPart? limits:LimitsPart? {
      return command({
        type: 'define-service',
        service,
        address,
        policy: policy ?? 'adaptive',
        limits: limits ?? {},
      });
    }

ChangeService
  = CHANGE _ SERVICE _ service:Service changes:ServiceChanges version:BasedOn? {
      return command({ type: 'change-service', service, ...changes, ...basedOn(version) });
    }

ServiceChanges
  = policy:PolicyPart limits:LimitsPart? {
      return limits === null ? { policy } : { policy, limits };
    }
  / limits:LimitsPart { return { limits }; }

RetireService
  = RETIRE _ SERVICE _ service:Service version:BasedOn? {
      return command({ type: 'retire-service', service, ...basedOn(version) });
    }

AddBackend
  = ADD _ BACKEND _ TO _ service:Service _ AT _ address:Address _ HEALTH _ healthAddress:Address
    _ ZONE _ zone:Zone version:BasedOn? {
      return command({
        type: 'add-backend',
        service,
        address,
        healthAddress,
        zone,
        ...basedOn(version),
      });
    }

DrainBackend
  = DRAIN _ BACKEND _ backendId:BackendId version:BasedOn? {
      return command({ type: 'drain-backend', backendId, ...basedOn(version) });
    }

CancelDrain
  = CANCEL _ DRAIN _ BACKEND _ backendId:BackendId version:BasedOn? {
      return command({ type: 'cancel-drain', backendId, ...basedOn(version) });
    }

RetireBackend
  = RETIRE _ BACKEND _ backendId:BackendId version:BasedOn? {
      return command({ type: 'retire-backend', backendId, ...basedOn(version) });
    }

CancelPlan
  = CANCEL _ PLAN _ planId:PlanId { return command({ type: 'cancel-plan', planId }); }

PolicyPart
  = _ POLICY _ policy:Policy { return policy; }

Policy
  = RANDOM { return 'random'; }
  / MAGLEV { return 'maglev'; }
  / LEAST_REPORTED { return 'least-reported'; }
  / ADAPTIVE { return 'adaptive'; }

LimitsPart
  = opens:OpensLimit connections:ConnectionsLimit? { return { ...opens, ...connections }; }
  / ConnectionsLimit

OpensLimit
  = _ LIMIT _ OPENS _ opensPerSecond:Rate { return { opensPerSecond }; }

ConnectionsLimit
  = _ LIMIT _ CONNECTIONS _ connectionsPerBackend:Count _ PER _ BACKEND {
      return { connectionsPerBackend };
    }

BasedOn
  = _ BASED _ ON _ version:Version { return version; }

Query
  = SHOW _ shown:Shown { return query(shown); }
  / EXPLAIN _ BACKEND _ backendId:BackendId { return query({ type: 'explain-backend', backendId }); }
  / EXPLAIN _ COMMAND _ commandId:CommandId { return query({ type: 'explain-command', commandId }); }

Shown
  = SERVICES { return { type: 'services' }; }
  / SERVICE _ service:Service { return { type: 'service', service }; }
  / BACKENDS service:OfService? {
      return service === null ? { type: 'backends' } : { type: 'backends', service };
    }
  / CHANGES { return { type: 'changes' }; }
  / IN _ FORCE { return { type: 'in-force' }; }
  / BALANCERS { return { type: 'balancers' }; }
  / CAPACITY { return { type: 'capacity' }; }
  / AUDIT last:LastPart? { return last === null ? { type: 'audit' } : { type: 'audit', last }; }

OfService
  = _ OF _ service:Service { return service; }

LastPart
  = _ LAST _ count:Count { return count; }

Unit
  = MILLISECONDS { return 1; }
  / SECONDS { return 1000; }
  / MINUTES { return 60_000; }
  / HOURS { return 3_600_000; }
  / DAYS { return 86_400_000; }

// Values.

Service "<service>" = text:Word &{ return isName(text); } { return text; }
Zone "<zone>" = text:Word &{ return isName(text); } { return text; }
Address "<IP:PORT>" = text:Word &{ return isAddressText(text); } { return parseAddress(text); }
BackendId "<back end ID>" = Integer
PlanId "<plan ID>" = Integer
Version "<version>" = Integer
Count "<number>" = Integer
Rate "<number>/s" = digits:$[0-9]+ "/s" End &{ return isPositiveInteger(digits); } {
    return Number(digits);
  }
Time "<time such as 2026-12-03T04:00Z>" = text:Word &{ return isTime(text); } {
    return Date.parse(text);
  }
Amount "<number>" = digits:$[0-9]+ &{ return isPositiveInteger(digits); } {
    return Number(digits);
  }
CommandId "<command ID>" = text:$[!-~]+ End { return text; }
Integer = text:Word &{ return isPositiveInteger(text); } { return Number(text); }
Word = $[^ \t\r\n]+
End = ![^ \t\r\n]

// Keywords.

ADAPTIVE "adaptive" = "adaptive"i End
ADD "add" = "add"i End
AT "at" = "at"i End
AUDIT "audit" = "audit"i End
BACKEND "backend" = "backend"i End
BACKENDS "backends" = "backends"i End
BALANCERS "balancers" = "balancers"i End
BASED "based" = "based"i End
CANCEL "cancel" = "cancel"i End
CAPACITY "capacity" = "capacity"i End
CHANGE "change" = "change"i End
CHANGES "changes" = "changes"i End
COMMAND "command" = "command"i End
CONNECTIONS "connections" = "connections"i End
DAYS "d" = "d"i End
DEFINE "define" = "define"i End
DRAIN "drain" = "drain"i End
EXPLAIN "explain" = "explain"i End
FORCE "force" = "force"i End
HEALTH "health" = "health"i End
HOURS "h" = "h"i End
IN "in" = "in"i End
LAST "last" = "last"i End
LEAST_REPORTED "least-reported" = "least-reported"i End
LIMIT "limit" = "limit"i End
MAGLEV "maglev" = "maglev"i End
MILLISECONDS "ms" = "ms"i End
MINUTES "m" = "m"i End
OF "of" = "of"i End
ON "on" = "on"i End
OPENS "opens" = "opens"i End
PER "per" = "per"i End
PLAN "plan" = "plan"i End
POLICY "policy" = "policy"i End
RANDOM "random" = "random"i End
RETIRE "retire" = "retire"i End
SECONDS "s" = "s"i End
SERVICE "service" = "service"i End
SERVICES "services" = "services"i End
SHOW "show" = "show"i End
TO "to" = "to"i End
ZONE "zone" = "zone"i End

_ "space" = [ \t\r\n]*
