/** Ports on which nothing listens. */

import net, {type AddressInfo} from 'node:net';

/**
 * Gets ports on which nothing listens at the moment, all different.
 *
 * @param address - The IP number.
 * @param count - How many.
 * @returns The ports.
 */
export async function getFreePorts(
	address: string,
	count: number,
): Promise<number[]> {
	const servers = Array.from({length: count}, () => net.createServer());
	const ports = await Promise.all(
		servers.map(
			async (server) =>
				new Promise<number>((resolve) => {
					server.listen(0, address, () => {
						resolve((server.address() as AddressInfo).port);
					});
				}),
		),
	);
	await Promise.all(
		servers.map(
			async (server) =>
				new Promise((resolve) => {
					server.close(resolve);
				}),
		),
	);
	return ports;
}
