/** Where the tool prints. */

/** Takes the lines that the tool prints. */
export type Output = {
	readonly print: (line: string) => void;
	readonly printError: (line: string) => void;
};
