/** The request headers about client accounts that this host sends in place of the caller's. */

import type {ClientAccount} from '../plan/client-account.js';
import type {TargetProtocol} from '../targets/target-protocol.js';

/** Headers that replace those of the caller; undefined removes the caller's. */
export type AccountHeaders = Readonly<
	Record<string, string | string[] | undefined>
>;

type AccountProtocol = Pick<
	TargetProtocol,
	'credentialHeader' | 'accountHeader'
>;

/**
 * Gets the headers for a target, which learns the account, but not the key.
 *
 * @param protocol - The names of the headers.
 * @param account - The account; undefined if the route is public.
 * @returns The headers.
 */
export function getTargetAccountHeaders(
	{credentialHeader, accountHeader}: AccountProtocol,
	account: ClientAccount | undefined,
): AccountHeaders {
	return {[credentialHeader]: undefined, [accountHeader]: account?.name};
}

/**
 * Gets the headers for another host, which checks the key itself.
 *
 * @param protocol - The names of the headers.
 * @param credential - What the caller sent as its key.
 * @returns The headers.
 */
export function getHostAccountHeaders(
	{credentialHeader, accountHeader}: AccountProtocol,
	credential: string | string[] | undefined,
): AccountHeaders {
	return {[credentialHeader]: credential, [accountHeader]: undefined};
}
