// SPDX-License-Identifier: Apache-2.0
// pierbank: command line for operators' statements.
#include <histedit.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <vector>

#include "AnswerPrinter.h"
#include "GatewayClient.h"
#include "pierbank/base/SettingsFile.h"
#include "pierbank/base/Version.h"

namespace {

using namespace pierbank;
namespace po = boost::program_options;

struct CommandOptions {
    std::string m_gateway;
    std::string m_token;
    std::string m_settingsPath;
    std::string m_file;
    bool m_asJson = false;
    std::vector<std::string> m_words;
};

int toStatus(CommandExit exit) {
    return static_cast<int>(exit);
}

std::string getEnvironment(const char* name) {
    const char* const value = std::getenv(name);
    return value == nullptr ? "" : value;
}

std::optional<CommandOptions> readOptions(int argc, char** argv, CommandExit& exit) {
    CommandOptions options;
    po::options_description visible("pierbank [OPTIONS] ['STATEMENT']");
    visible.add_options()("gateway", po::value(&options.m_gateway),
                          "IP:PORT of a gateway's operators' listener (or PIERBANK_GATEWAY)")(
            "token", po::value(&options.m_token), "the operator's token (or PIERBANK_TOKEN)")(
            "settings", po::value(&options.m_settingsPath),
            "INI file with [client] gateway and token (or PIERBANK_SETTINGS)")(
            "file", po::value(&options.m_file), "statements, one a line; - for standard input")(
            "json", po::bool_switch(&options.m_asJson), "answers as JSON, one a line")(
            "help", "this text")("version", "the version");
    po::options_description all;
    all.add(visible).add_options()("words", po::value(&options.m_words));
    po::positional_options_description positional;
    positional.add("words", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(),
                  values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "pierbank: " << error.what() << "\n";
        exit = CommandExit::USAGE;
        return std::nullopt;
    }
    exit = CommandExit::DONE;
    if (values.count("help") != 0) {
        std::cout << visible;
        return std::nullopt;
    }
    if (values.count("version") != 0) {
        std::cout << "pierbank " << VERSION << "\n";
        return std::nullopt;
    }
    return options;
}

/**
 * Completes the options from the environment and the settings file. Options take precedence over
 * the environment, and the environment over the settings file.
 */
void applyDefaults(CommandOptions& options, Findings& findings) {
    if (options.m_gateway.empty()) {
        options.m_gateway = getEnvironment("PIERBANK_GATEWAY");
    }
    if (options.m_token.empty()) {
        options.m_token = getEnvironment("PIERBANK_TOKEN");
    }
    if (options.m_settingsPath.empty()) {
        options.m_settingsPath = getEnvironment("PIERBANK_SETTINGS");
    }
    if (options.m_settingsPath.empty()) {
        return;
    }
    auto file = SettingsFile::load(options.m_settingsPath, findings);
    if (!file.has_value()) {
        return;
    }
    const std::string gateway = file->getText({"client", "gateway"}, "");
    const std::string token = file->getText({"client", "token"}, "");
    options.m_gateway = options.m_gateway.empty() ? gateway : options.m_gateway;
    options.m_token = options.m_token.empty() ? token : options.m_token;
    file->reportUnknownKeys();
}

/** Executes the statement on each line. Returns the worst exit status. */
CommandExit runLines(GatewayClient& client, std::istream& input, bool asJson) {
    CommandExit worst = CommandExit::DONE;
    std::string line;
    while (std::getline(input, line)) {
        const std::size_t start = line.find_first_not_of(" \t\r");
        if (start == std::string::npos || line[start] == '#') {
            continue;
        }
        worst = std::max(worst, printAnswer(client.execute(line), asJson));
    }
    return worst;
}

char* getPrompt(EditLine*) {
    static char prompt[] = "pierbank> ";
    return prompt;
}

/** Executes statements interactively. Returns the exit status of the last one. */
CommandExit runPrompt(GatewayClient& client, bool asJson) {
    constexpr int HISTORY_LINES = 500;
    EditLine* editor = el_init("pierbank", stdin, stdout, stderr);
    History* lines = history_init();
    HistEvent event;
    history(lines, &event, H_SETSIZE, HISTORY_LINES);
    el_set(editor, EL_PROMPT, &getPrompt);
    el_set(editor, EL_EDITOR, "emacs");
    el_set(editor, EL_HIST, &history, lines);
    CommandExit last = CommandExit::DONE;
    int count = 0;
    const char* line = nullptr;
    while ((line = el_gets(editor, &count)) != nullptr && count > 0) {
        std::string statement(line, static_cast<std::size_t>(count));
        while (!statement.empty() && (statement.back() == '\n' || statement.back() == ' ')) {
            statement.pop_back();
        }
        if (statement == "exit" || statement == "quit") {
            break;
        }
        if (!statement.empty()) {
            history(lines, &event, H_ENTER, line);
            last = printAnswer(client.execute(statement), asJson);
        }
    }
    history_end(lines);
    el_end(editor);
    return last;
}

CommandExit run(const CommandOptions& options, GatewayClient& client) {
    if (!options.m_words.empty()) {
        std::string statement;
        for (const std::string& word : options.m_words) {
            statement += statement.empty() ? word : " " + word;
        }
        return printAnswer(client.execute(statement), options.m_asJson);
    }
    if (!options.m_file.empty() && options.m_file != "-") {
        std::ifstream file(options.m_file);
        if (!file) {
            std::cerr << "pierbank: " << options.m_file << ": cannot be read\n";
            return CommandExit::USAGE;
        }
        return runLines(client, file, options.m_asJson);
    }
    const bool isPrompt = options.m_file.empty() && isatty(STDIN_FILENO) != 0;
    return isPrompt ? runPrompt(client, options.m_asJson)
                    : runLines(client, std::cin, options.m_asJson);
}

}  // namespace

int main(int argc, char** argv) {
    CommandExit exit = CommandExit::DONE;
    auto options = readOptions(argc, argv, exit);
    if (!options.has_value()) {
        return toStatus(exit);
    }
    Findings findings;
    applyDefaults(*options, findings);
    const auto gateway = Address::parse(options->m_gateway);
    if (!gateway.has_value()) {
        findings.add("gateway", "`" + options->m_gateway + "` is not IP:PORT; see --help");
    }
    if (options->m_token.empty()) {
        findings.add("token", "is required; see --help");
    }
    if (!findings.isEmpty()) {
        std::cerr << findings.toText();
        return toStatus(CommandExit::USAGE);
    }
    GatewayClient client(*gateway, options->m_token);
    return toStatus(run(*options, client));
}
