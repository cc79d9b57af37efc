/** Finds unused ports. */

import net, {type AddressInfo} from 'node:net';

/**
 * Gets distinct ports on which nothing listens at the moment.
 *
 * @param address - The IP address to check the ports on.
 * @param count - The number of ports.
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
