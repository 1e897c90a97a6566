#pragma once

#include <cctype>
#include <cstdio>
#include <sstream>
#include <string>

// Encodes text as RFC 2047 encoded words, one for each word of the text.
inline std::string encodedWords(const std::string& text)
{
    std::istringstream words(text);
    std::string encoded;
    for (std::string word; std::getline(words, word, ' ');) {
        encoded += encoded.empty() ? "=?UTF-8?Q?" : " =?UTF-8?Q?";
        for (unsigned char byte : word) {
            char hex[4];
            std::snprintf(hex, sizeof hex, "=%02X", byte);
            encoded += std::isalnum(byte) ? std::string(1, static_cast<char>(byte)) : std::string(hex);
        }
        encoded += "?=";
    }
    return encoded;
}
