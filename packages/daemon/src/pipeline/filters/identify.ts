/** Determines the service, class, key and deadline of a request. */

import {
	callerHeaders,
	makeId,
	notRun,
	type CallerClass,
	type Failure,
	type IdempotencyKey,
	type ServiceName,
} from '@bilberryscale/core';
import type {Service} from '@bilberryscale/bundle';
import {isTimedKey, normaliseKey} from '@bilberryscale/once';
import {Err, Ok, type Result} from 'ts-results-es';
import type {TargetAllocator} from '../../dispatch/target-allocator.js';
import type {CallIdentity, IncomingCall} from '../exchange.js';
import type {Filter} from '../filter.js';

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
/** The scheme and the authority of a request target in absolute form. */
const originPattern = /^[a-z][a-z\d+.\-]*:\/\/[^\/?]*/iv;
const decimalPattern = /^\d{1,9}(?:\.\d{1,9})?$/v;

/**
 * Makes the filter that sets the identity of a request.
 *
 * @param allocator - Holds the dispatchers of the services in the current bundle.
 * @returns The filter.
 */
export function makeIdentifyFilter(allocator: TargetAllocator): Filter {
	return async (exchange, next) => {
		const identity = identify(exchange.incoming, allocator);
		if (identity.isErr()) {
			return identity;
		}

		exchange.setIdentity(identity.value);
		return next();
	};
}

function identify(
	incoming: IncomingCall,
	allocator: TargetAllocator,
): Result<CallIdentity, Failure> {
	const {serviceName, targetPath} = splitUrl(incoming.url);
	const dispatcher = allocator.getDispatcher(serviceName);
	if (dispatcher === undefined) {
		return Err(notRun('service-unknown', `No service "${serviceName}".`));
	}

	const {service} = dispatcher;
	const isIdempotent = isIdempotentCall(service, incoming.method);
	return readClass(service, incoming).andThen((callerClass) =>
		readKey(incoming).andThen((key) =>
			readTimeout(service, incoming).map((timeoutMs) => ({
				dispatcher,
				callerClass,
				isIdempotent,
				key,
				targetPath,
				deadlineMs: incoming.receivedAtMs + timeoutMs,
			})),
		),
	);
}

function splitUrl(url: string): {
	serviceName: ServiceName;
	targetPath: string;
} {
	const path = url.startsWith('/') ? url : url.replace(originPattern, '');
	const nameEnd = path.slice(1).search(/[\/?]/v);
	const serviceName =
		nameEnd === -1 ? path.slice(1) : path.slice(1, nameEnd + 1);
	const rest = nameEnd === -1 ? '' : path.slice(nameEnd + 1);
	return {
		serviceName: makeId<ServiceName>(serviceName),
		targetPath: rest.startsWith('/') ? rest : `/${rest}`,
	};
}

function isIdempotentCall(service: Service, method: string): boolean {
	return service.idempotency === 'by-method'
		? idempotentMethods.has(method)
		: service.idempotency === 'all';
}

function readClass(
	service: Service,
	incoming: IncomingCall,
): Result<CallerClass, Failure> {
	const requestedClass = incoming.headers[callerHeaders.callerClass];
	if (requestedClass === undefined) {
		return Ok(service.classes[0]!.name);
	}

	const matchingClass = service.classes.find(
		({name}) => name === requestedClass,
	);
	return matchingClass === undefined
		? Err(
				notRun(
					'class-unknown',
					`The service "${service.name}" has no class "${String(requestedClass)}".`,
				),
			)
		: Ok(matchingClass.name);
}

function readKey(
	incoming: IncomingCall,
): Result<IdempotencyKey | undefined, Failure> {
	const text = incoming.headers[callerHeaders.idempotencyKey];
	if (text === undefined) {
		return Ok(undefined);
	}

	return typeof text === 'string' && isTimedKey(text)
		? Ok(normaliseKey(text))
		: Err(notRun('key-invalid', 'The idempotency key is not a UUIDv7.'));
}

function readTimeout(
	service: Service,
	incoming: IncomingCall,
): Result<number, Failure> {
	const text = incoming.headers[callerHeaders.timeout];
	if (text === undefined) {
		return Ok(service.limits.timeoutMs);
	}

	const isNumber = typeof text === 'string' && decimalPattern.test(text);
	const timeoutMs = isNumber ? Number(text) : 0;
	return timeoutMs > 0
		? Ok(Math.min(timeoutMs, service.limits.timeoutMs))
		: Err(
				notRun(
					'bad-request',
					`${callerHeaders.timeout} is "${String(text)}", not a positive number.`,
				),
			);
}
