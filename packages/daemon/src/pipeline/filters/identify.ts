/** Finds out what a call asks for. */

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
import type {CallDesk} from '../../dispatch/call-desk.js';
import type {CallIdentity, IncomingCall} from '../exchange.js';
import type {Filter} from '../filter.js';

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
/** The scheme and the authority of an absolute-form target. */
const originPattern = /^[a-z][a-z\d+.\-]*:\/\/[^\/?]*/iv;
const numberPattern = /^\d{1,9}(?:\.\d{1,9})?$/v;

/**
 * Makes the filter that names the service, class, key and deadline of a call.
 *
 * @param desk - Knows the services of the bundle in force.
 * @returns The filter.
 */
export function makeIdentifyFilter(desk: CallDesk): Filter {
	return async (exchange, next) => {
		const identity = identify(exchange.incoming, desk);
		if (identity.isErr()) {
			return identity;
		}

		exchange.setIdentity(identity.value);
		return next();
	};
}

function identify(
	incoming: IncomingCall,
	desk: CallDesk,
): Result<CallIdentity, Failure> {
	const {serviceName, targetPath} = splitPath(incoming.url);
	const dispatcher = desk.getDispatcher(serviceName);
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

function splitPath(url: string): {
	serviceName: ServiceName;
	targetPath: string;
} {
	const path = url.startsWith('/') ? url : url.replace(originPattern, '');
	const end = path.slice(1).search(/[\/?]/v);
	const serviceName = end === -1 ? path.slice(1) : path.slice(1, end + 1);
	const rest = end === -1 ? '' : path.slice(end + 1);
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
	const wanted = incoming.headers[callerHeaders.callerClass];
	if (wanted === undefined) {
		return Ok(service.classes[0]!.name);
	}

	const known = service.classes.find(({name}) => name === wanted);
	return known === undefined
		? Err(
				notRun(
					'class-unknown',
					`The service "${service.name}" has no class "${String(wanted)}".`,
				),
			)
		: Ok(known.name);
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

	const isNumber = typeof text === 'string' && numberPattern.test(text);
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
